package transport

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"hash/fnv"
	"reflect"
	"sync"

	"coursepass/internal/errcode"
)

// A gob stream begins with the definitions of its types (its schema), which are larger than
// most messages and cost more to decode than the message itself. The self-describing codec
// sends the schema with each message, and the receiver caches the schema by its hash. The schema hash
// codec sends only the hash.

// selfDescribingCodec encodes a message as a complete gob stream.
type selfDescribingCodec struct{ *schemaCache }

// schemaHashCodec encodes a message as the hash of its schema (8 bytes, big endian) and the
// value alone. The receiver must have cached the schema.
type schemaHashCodec struct{ *schemaCache }

const (
	// hashLength is the length of a schema's hash in bytes.
	hashLength = 8
	// maxCachedSchemas is the maximum number of entries in each map of a schemaCache. A full map is
	// cleared before the next entry is added.
	maxCachedSchemas = 1024
	// unknownSchema is the error text with which a receiver asks the sender for the self-describing
	// form. The text is part of the protocol.
	unknownSchema = "unknown primer"
)

// Gob encodes an unsigned number below gobMultiByte as one byte. A larger number is encoded as its bytes
// in big-endian order, preceded by one byte with their negated count, which is at most maxGobUintLength.
const (
	gobMultiByte     = 0x80
	maxGobUintLength = 8
	bitsPerByte      = 8
)

// schemaCache holds the schemas that a daemon has received, and pools of encoders that have already
// written their schema and of decoders that have already read it. It is safe for concurrent use.
type schemaCache struct {
	// lock guards the maps. The pools in the maps need no lock.
	lock              sync.Mutex
	definitionsByHash map[uint64][]byte
	decoderPools      map[decoderKey]*sync.Pool
	encoderPools      map[reflect.Type]*sync.Pool
}

// decoderKey identifies the decoders that have read the same schema and decode into the same type.
type decoderKey struct {
	hash        uint64
	messageType reflect.Type
}

func newSchemaCache() *schemaCache {
	return &schemaCache{
		definitionsByHash: map[uint64][]byte{},
		decoderPools:      map[decoderKey]*sync.Pool{},
		encoderPools:      map[reflect.Type]*sync.Pool{},
	}
}

// splitGob splits a gob stream of one message into the definitions of the message's types and the value.
// Definitions have negative type ids. complete is false if the stream contains no complete value.
func splitGob(data []byte) (definitions, value []byte, complete bool) {
	remaining := data
	for len(remaining) > 0 {
		length, width := readGobUint(remaining)
		if width == 0 || length > uint64(len(remaining)-width) {
			return nil, nil, false
		}
		id, _ := readGobUint(remaining[width:])
		if id&1 == 0 {
			return data[:len(data)-len(remaining)], remaining, true
		}
		remaining = remaining[width+int(length):]
	}
	return nil, nil, false
}

// readGobUint decodes an unsigned number in gob's encoding from the start of the data. It returns the
// number and the length of its encoding in bytes. The length is 0 if the data doesn't start with a
// complete number.
func readGobUint(data []byte) (uint64, int) {
	if len(data) == 0 {
		return 0, 0
	}
	if data[0] < gobMultiByte {
		return uint64(data[0]), 1
	}
	width := int(-int8(data[0]))
	if width < 1 || width > maxGobUintLength || len(data) <= width {
		return 0, 0
	}
	number := uint64(0)
	for _, octet := range data[1 : width+1] {
		number = number<<bitsPerByte | uint64(octet)
	}
	return number, width + 1
}

func hashDefinitions(definitions []byte) uint64 {
	sum := fnv.New64a()
	sum.Write(definitions)
	return sum.Sum64()
}

// pooledDecoder is a gob decoder that is reused for messages with the same schema. Each message is set as
// its input.
type pooledDecoder struct {
	*gob.Decoder
	input bytes.Reader
	// schemaLoaded is true once the decoder has read the schema.
	schemaLoaded bool
}

func newPooledDecoder() *pooledDecoder {
	decoder := &pooledDecoder{}
	decoder.Decoder = gob.NewDecoder(&decoder.input)
	return decoder
}

// pooledEncoder is a gob encoder that is reused for messages of the same type. Each message is written into
// its buffer.
type pooledEncoder struct {
	*gob.Encoder
	buffer bytes.Buffer
	// hash is the hash of the schema. It is valid once schemaSent is true.
	hash uint64
	// schemaSent is true once the encoder has written the schema; gob then writes only values.
	schemaSent bool
}

func newPooledEncoder() *pooledEncoder {
	encoder := &pooledEncoder{}
	encoder.Encoder = gob.NewEncoder(&encoder.buffer)
	return encoder
}

// objectPool returns the pool for a key in one of the cache's maps. It creates the pool if the map has none
// for the key.
func objectPool[Key comparable](cache *schemaCache, pools map[Key]*sync.Pool, key Key) *sync.Pool {
	cache.lock.Lock()
	defer cache.lock.Unlock()
	cached, known := pools[key]
	if !known {
		if len(pools) >= maxCachedSchemas {
			clear(pools)
		}
		cached = &sync.Pool{}
		pools[key] = cached
	}
	return cached
}

// store caches a copy of a schema.
func (s *schemaCache) store(definitions []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.definitionsByHash) >= maxCachedSchemas {
		clear(s.definitionsByHash)
	}
	if hash := hashDefinitions(definitions); s.definitionsByHash[hash] == nil {
		s.definitionsByHash[hash] = bytes.Clone(definitions)
	}
}

// lookup returns the cached schema with the hash, or nil if there is none.
func (s *schemaCache) lookup(hash uint64) []byte {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.definitionsByHash[hash]
}

// Name returns the codec's name in the HTTP content type.
func (selfDescribingCodec) Name() string { return "gob" }

// Marshal encodes a message together with its schema.
func (selfDescribingCodec) Marshal(message any) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(WireForm(message))
	return buffer.Bytes(), err
}

// Unmarshal decodes a message and caches its schema.
func (s selfDescribingCodec) Unmarshal(data []byte, message any) error {
	if err := DecodeWireForm(gob.NewDecoder(bytes.NewReader(data)), message); err != nil {
		return err
	}
	if definitions, _, complete := splitGob(data); complete {
		s.store(definitions)
	}
	return nil
}

// Name returns the codec's name in the HTTP content type.
func (schemaHashCodec) Name() string { return "gob-short" }

// Marshal encodes a message, with the hash of its schema in place of the schema.
func (s schemaHashCodec) Marshal(message any) ([]byte, error) {
	encoders := objectPool(s.schemaCache, s.encoderPools, reflect.TypeOf(message))
	encoder, _ := encoders.Get().(*pooledEncoder)
	if encoder == nil {
		encoder = newPooledEncoder()
	}
	encoder.buffer.Reset()
	if err := encoder.Encode(WireForm(message)); err != nil {
		return nil, err
	}
	value := encoder.buffer.Bytes()
	if !encoder.schemaSent {
		definitions, remaining, complete := splitGob(value)
		if !complete {
			return nil, errcode.New(errcode.MalformedMessage, "a gob without a value")
		}
		encoder.hash = hashDefinitions(definitions)
		encoder.schemaSent = true
		value = remaining
	}
	result := binary.BigEndian.AppendUint64(make([]byte, 0, hashLength+len(value)), encoder.hash)
	result = append(result, value...)
	encoders.Put(encoder)
	return result, nil
}

// Unmarshal decodes a message whose schema is cached. If the schema isn't cached, it returns a
// MalformedMessage error with the text unknownSchema.
func (s schemaHashCodec) Unmarshal(data []byte, message any) error {
	if len(data) < hashLength {
		return errcode.New(errcode.MalformedMessage, "a short gob of %d bytes", len(data))
	}
	hash := binary.BigEndian.Uint64(data)
	value := data[hashLength:]
	definitions := s.lookup(hash)
	if definitions == nil {
		return errcode.New(errcode.MalformedMessage, unknownSchema)
	}
	decoders := objectPool(s.schemaCache, s.decoderPools, decoderKey{hash, reflect.TypeOf(message)})
	decoder, _ := decoders.Get().(*pooledDecoder)
	if decoder == nil {
		decoder = newPooledDecoder()
	}
	if !decoder.schemaLoaded {
		value = append(bytes.Clone(definitions), value...)
	}
	decoder.input.Reset(value)
	if err := DecodeWireForm(decoder.Decoder, message); err != nil {
		return err
	}
	if remaining := decoder.input.Len(); remaining > 0 {
		return errcode.New(errcode.MalformedMessage, "%d bytes after a gob", remaining)
	}
	decoder.schemaLoaded = true
	decoders.Put(decoder)
	return nil
}
