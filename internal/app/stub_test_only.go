package app

import "net/http"

func (i *Instance) configurationHandler() http.Handler { return nil }
