package packed

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

type nested struct {
	Text    string            `msgpack:"t"`
	Bytes   []byte            `msgpack:"b"`
	Signed  int64             `msgpack:"i"`
	Whole   uint64            `msgpack:"u"`
	Part    float64           `msgpack:"f"`
	Yes     bool              `msgpack:"y"`
	At      time.Time         `msgpack:"a"`
	Inner   *nested           `msgpack:"n"`
	List    []nested          `msgpack:"l"`
	Numbers map[string]uint64 `msgpack:"m"`
}

func sample(long int) nested {
	s := nested{Text: strings.Repeat("x", long), Bytes: make([]byte, long), Signed: math.MinInt64, Whole: math.MaxUint64, Part: 1.5, Yes: true, At: time.Unix(1, 5), Numbers: map[string]uint64{}}
	for n := range long {
		s.Numbers[strings.Repeat("k", n%300)+"k"] = 1 << (n % 64)
		s.List = append(s.List, nested{Signed: -int64(n)})
	}
	return s
}

// What the encoder writes is decoded as before, of all sizes of length.
func TestWholeValuesAreDecoded(t *testing.T) {
	for _, long := range []int{0, 1, 31, 40, 300, 70_000} {
		inner := sample(min(long, 300))
		want := sample(long)
		want.Inner = &inner
		data, err := msgpack.Marshal(want)
		require.NoError(t, err)
		var got nested
		require.NoError(t, Unmarshal(data, &got))
		again, err := msgpack.Marshal(got)
		require.NoError(t, err)
		require.Len(t, again, len(data))
	}
}

func TestValuesThatClaimTooMuchAreRefused(t *testing.T) {
	whole, err := msgpack.Marshal(sample(3))
	require.NoError(t, err)
	odd := map[string][]byte{
		"nothing":            {},
		"array without end":  {0x81, 0xa1, 'l', 0xdd, 0xff, 0xff, 0xff, 0xff},
		"array in unknown":   {0x81, 0xa1, 'x', 0xdd, 0xff, 0xff, 0xff, 0xff},
		"map without end":    {0x81, 0xa1, 'm', 0xdf, 0xff, 0xff, 0xff, 0xff},
		"text without end":   {0x81, 0xa1, 't', 0xdb, 0xff, 0xff, 0xff, 0xff},
		"bytes without end":  {0x81, 0xa1, 'b', 0xc6, 0xff, 0xff, 0xff, 0xff},
		"length cut off":     {0x81, 0xa1, 'b', 0xc6, 0xff},
		"nested deeply":      append(append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, 1<<20)...), 0xc0),
		"nested maps":        append(append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x81, 0xa1, 'n'}, 1<<16)...), 0xc0),
		"one byte is lacked": whole[:len(whole)-1],
	}
	for name, data := range odd {
		t.Run(name, func(t *testing.T) {
			var got nested
			require.Error(t, Unmarshal(data, &got))
		})
	}
}

// The decoder panics when nothing stands in the place of a time.
func TestValuesAtWhichTheDecoderPanics(t *testing.T) {
	var got nested
	require.Error(t, Unmarshal([]byte{0x81, 0xa1, 'a', 0xc0}, &got))
}

func FuzzUnmarshal(f *testing.F) {
	whole, err := msgpack.Marshal(sample(3))
	require.NoError(f, err)
	f.Add(whole)
	f.Add([]byte{0x81, 0xa1, 'l', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add(append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, 1<<10)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got nested
		checked, decoded := Check(data), Unmarshal(data, &got)
		require.False(t, checked != nil && decoded == nil)
	})
}

func BenchmarkUnmarshal(b *testing.B) {
	data, err := msgpack.Marshal(sample(5))
	require.NoError(b, err)
	for name, unmarshal := range map[string]func([]byte, any) error{"checked": Unmarshal, "unchecked": func(data []byte, into any) error { return msgpack.Unmarshal(data, into) }} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				var got nested
				require.NoError(b, unmarshal(data, &got))
			}
		})
	}
}
