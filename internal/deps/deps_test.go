package deps

import (
	_ "github.com/anishathalye/porcupine"
	_ "go.uber.org/goleak"
)
