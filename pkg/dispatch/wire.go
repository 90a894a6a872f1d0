package dispatch

import (
	"bytes"
	"encoding/json"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// pack encodes a batch for the wire. Batches are by far the most frequent
// messages between instances, so they travel as MessagePack arrays without the
// names of fields, inside the JSON of the call. A field may only be added at the
// end of a struct, so that instances of neighbouring versions understand each
// other.
func pack(batch any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(batch); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "a batch cannot be encoded")
	}
	return buffer.Bytes(), nil
}

// unpack decodes a batch from the parameters of a call.
func unpack(params json.RawMessage, batch any) error {
	var data []byte
	if err := json.Unmarshal(params, &data); err != nil {
		return fault.Wrap(fault.BadRequest, err, "malformed parameters")
	}
	if err := msgpack.Unmarshal(data, batch); err != nil {
		return fault.Wrap(fault.BadRequest, err, "malformed batch")
	}
	return nil
}
