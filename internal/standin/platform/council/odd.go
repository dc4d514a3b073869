package council

import (
	"fmt"
	"strings"
)

const (
	// deepNesting is beyond what decoders accept.
	deepNesting = 20_000
	// hugeBytes is the size of huge values.
	hugeBytes = 64 << 10
)

// OddRegistrations returns rows that other writers may leave among the registrations. The
// first three are one with a wrong port, one with a start in the far future and one that
// can't be decoded. address is that of a database.
func OddRegistrations(address string) []string {
	row := func(replaced, by string) string {
		good := fmt.Sprintf(`{"Backend":"g","Addr":%q,"Zone":"z","Version":"v1","Slots":3,"State":"ready","ColdLeftMs":0,"DbRole":"replica","Seq":1,"born":1770822210018}`, address)
		return strings.Replace(good, replaced, by, 1)
	}
	deep := strings.Repeat("[", deepNesting) + strings.Repeat("]", deepNesting)
	return []string{
		row(address, "127.0.0.1:70000"), row(`1770822210018`, `9000000000000000`), "{",
		"", "null", "7", "[]", "{}", "\xff\xfe", `"x"`,
		deep[:deepNesting], strings.Repeat(`{"a":`, deepNesting) + "1" + strings.Repeat("}", deepNesting), strings.Repeat("x", hugeBytes),
		row(`"Seq"`, `"New":`+deep+`,"Seq"`),
		row(`"Slots":3`, `"Slots":1e400`), row(`"Slots":3`, `"Slots":-1`), row(`"Slots":3`, `"Slots":9223372036854775807`),
		row(`1770822210018`, `1e300`), row(`1770822210018`, `"NaN"`),
		row(address, "127.0.0.1:-1"), row(address, "127.0.0.1:x"), row(address, "127.0.0.1"), row(address, ":1"),
		row(`"ready"`, `"asleep"`), row(`"replica"`, `"king"`), row(`"replica"`, `7`), row(`"Zone":"z",`, ``), row(`"g"`, `"g\r\nQUIT"`),
	}
}
