// Package transport carries calls between machines: connect-go with gob between the
// project's own processes, plain HTTP with JSON towards all others.
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

// A gob stream begins with definitions of its types, which are larger than most
// messages and cost more to read than all the rest. The full codec sends them with
// each message, and whoever reads one remembers them by their hash; the short codec
// sends the hash instead.
type selfDescribingCodec struct{ *schemaCache }

type schemaHashCodec struct{ *schemaCache }

const (
	hashLength       = 8
	maxCachedSchemas = 1024
	unknownSchema    = "unknown primer"
)

// schemaCache are the definitions that a daemon has read, and its encoders and decoders
// that are past them.
type schemaCache struct {
	lock              sync.Mutex
	definitionsByHash map[uint64][]byte
	decoderPools      map[decoderKey]*sync.Pool
	encoderPools      map[reflect.Type]*sync.Pool
}

type decoderKey struct {
	hash        uint64
	messageType reflect.Type
}

func newSchemaCache() *schemaCache {
	return &schemaCache{definitionsByHash: map[uint64][]byte{}, decoderPools: map[decoderKey]*sync.Pool{}, encoderPools: map[reflect.Type]*sync.Pool{}}
}

// splitGob parts a gob into definitions and value: definitions have negative ids.
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

// readGobUint reads an unsigned number as gob writes it, and its width.
func readGobUint(data []byte) (uint64, int) {
	if len(data) == 0 {
		return 0, 0
	}
	if data[0] < 0x80 {
		return uint64(data[0]), 1
	}
	width := int(-int8(data[0]))
	if width < 1 || width > 8 || len(data) <= width {
		return 0, 0
	}
	number := uint64(0)
	for _, octet := range data[1 : width+1] {
		number = number<<8 | uint64(octet)
	}
	return number, width + 1
}

func hashDefinitions(definitions []byte) uint64 {
	sum := fnv.New64a()
	sum.Write(definitions)
	return sum.Sum64()
}

type decoderInput struct{ bytes.Reader }

type pooledDecoder struct {
	*gob.Decoder
	*decoderInput
	schemaLoaded bool
}

type pooledEncoder struct {
	*gob.Encoder
	buffer     bytes.Buffer
	hash       uint64
	schemaSent bool
}

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

func (s *schemaCache) remember(definitions []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.definitionsByHash) >= maxCachedSchemas {
		clear(s.definitionsByHash)
	}
	if hash := hashDefinitions(definitions); s.definitionsByHash[hash] == nil {
		s.definitionsByHash[hash] = bytes.Clone(definitions)
	}
}

func (s *schemaCache) lookup(hash uint64) []byte {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.definitionsByHash[hash]
}

// Name is the codec's name in the content type.
func (selfDescribingCodec) Name() string { return "gob" }

// Marshal encodes a message with its definitions.
func (selfDescribingCodec) Marshal(message any) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(message)
	return buffer.Bytes(), err
}

// Unmarshal decodes a message and remembers its definitions.
func (s selfDescribingCodec) Unmarshal(data []byte, message any) error {
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(message); err != nil {
		return err
	}
	if definitions, _, complete := splitGob(data); complete {
		s.remember(definitions)
	}
	return nil
}

// Name is the codec's name in the content type.
func (schemaHashCodec) Name() string { return "gob-short" }

// Marshal encodes a message with the hash of its definitions.
func (s schemaHashCodec) Marshal(message any) ([]byte, error) {
	encoders := objectPool(s.schemaCache, s.encoderPools, reflect.TypeOf(message))
	encoder, _ := encoders.Get().(*pooledEncoder)
	if encoder == nil {
		encoder = &pooledEncoder{}
		encoder.Encoder = gob.NewEncoder(&encoder.buffer)
	}
	encoder.buffer.Reset()
	if err := encoder.Encode(message); err != nil {
		return nil, err
	}
	value := encoder.buffer.Bytes()
	if !encoder.schemaSent {
		definitions, remaining, complete := splitGob(value)
		if !complete {
			return nil, errcode.New(errcode.MalformedMessage, "a gob without a value")
		}
		encoder.hash, encoder.schemaSent, value = hashDefinitions(definitions), true, remaining
	}
	result := binary.BigEndian.AppendUint64(make([]byte, 0, hashLength+len(value)), encoder.hash)
	result = append(result, value...)
	encoders.Put(encoder)
	return result, nil
}

// Unmarshal decodes a message whose definitions are known here.
func (s schemaHashCodec) Unmarshal(data []byte, message any) error {
	if len(data) < hashLength {
		return errcode.New(errcode.MalformedMessage, "a short gob of %d bytes", len(data))
	}
	hash, value := binary.BigEndian.Uint64(data), data[hashLength:]
	definitions := s.lookup(hash)
	if definitions == nil {
		return errcode.New(errcode.MalformedMessage, unknownSchema)
	}
	decoders := objectPool(s.schemaCache, s.decoderPools, decoderKey{hash, reflect.TypeOf(message)})
	decoder, _ := decoders.Get().(*pooledDecoder)
	if decoder == nil {
		decoder = &pooledDecoder{decoderInput: &decoderInput{}}
		decoder.Decoder = gob.NewDecoder(decoder.decoderInput)
	}
	if !decoder.schemaLoaded {
		value = append(bytes.Clone(definitions), value...)
	}
	decoder.decoderInput.Reset(value)
	if err := decoder.Decode(message); err != nil {
		return err
	}
	if decoder.decoderInput.Len() > 0 {
		return errcode.New(errcode.MalformedMessage, "%d bytes after a gob", decoder.decoderInput.Len())
	}
	decoder.schemaLoaded = true
	decoders.Put(decoder)
	return nil
}
