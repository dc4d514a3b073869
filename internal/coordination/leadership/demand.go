package leadership

import (
	"unique"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// groupDemand is an instance's demand for the connections to one group, in tenths of a
// connection. All rows share the group's name: each of many instances lists many
// groups.
type groupDemand struct {
	group  unique.Handle[state.GroupID]
	tenths uint16
}

// demands holds an instance's demand for each group in use. In a row it is a map.
type demands []groupDemand

// newDemands returns the demand for the groups in use.
func newDemands(byGroup map[state.GroupID]uint16) demands {
	var listed demands
	for id, tenths := range byGroup {
		if tenths > 0 {
			listed = append(listed, groupDemand{unique.Make(id), tenths})
		}
	}
	return listed
}

// of returns the demand for a group.
func (d demands) of(id state.GroupID) int {
	group := unique.Make(id)
	for _, demand := range d {
		if demand.group == group {
			return int(demand.tenths)
		}
	}
	return 0
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (d demands) EncodeMsgpack(encoder *msgpack.Encoder) error {
	if err := encoder.EncodeMapLen(len(d)); err != nil {
		return err
	}
	for _, demand := range d {
		if err := encoder.EncodeString(string(demand.group.Value())); err != nil {
			return err
		}
		if err := encoder.EncodeUint(uint64(demand.tenths)); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (d *demands) DecodeMsgpack(decoder *msgpack.Decoder) error {
	*d = nil
	length, err := decoder.DecodeMapLen()
	if err != nil {
		return err
	}
	// The length is not trusted before the entries have been read.
	for range length {
		id, err := decoder.DecodeString()
		if err != nil {
			return err
		}
		tenths, err := decoder.DecodeUint16()
		if err != nil {
			return err
		}
		*d = append(*d, groupDemand{unique.Make(state.GroupID(id)), tenths})
	}
	return nil
}
