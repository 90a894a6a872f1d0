package peer

import (
	"bytes"
	"encoding/json"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Pack encodes the parameters of a frequent message as MessagePack, with structs as
// arrays without field names. The result is sent as one string in the JSON of the
// call. An instance cannot decode a struct with more or fewer fields than its own, so
// that the fields of a packed message must not change between adjacent releases; what
// is new needs a message of its own.
func Pack(params any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(params); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot encode message")
	}
	return buffer.Bytes(), nil
}

// Unpack decodes call parameters that were encoded by Pack.
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
