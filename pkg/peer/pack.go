package peer

import (
	"bytes"
	"encoding/json"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Pack encodes the parameters of a frequent message. They travel as MessagePack
// arrays without the names of fields, inside the JSON of the call, which is then
// one text to JSON. A field may only be added at the end of a struct, so that
// instances of neighbouring versions understand each other.
func Pack(params any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(params); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "a message cannot be encoded")
	}
	return buffer.Bytes(), nil
}

// Unpack decodes what Pack has encoded from the parameters of a call.
func Unpack(params json.RawMessage, into any) error {
	var data []byte
	if err := json.Unmarshal(params, &data); err != nil {
		return fault.Wrap(fault.BadRequest, err, "malformed parameters")
	}
	if err := msgpack.Unmarshal(data, into); err != nil {
		return fault.Wrap(fault.BadRequest, err, "malformed message")
	}
	return nil
}
