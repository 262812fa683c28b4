// Package circuit carries calls between machines: connect-go with gob between the
// project's own processes, plain HTTP with JSON towards all others.
package circuit

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
type fullCodec struct{ *primers }

type shortCodec struct{ *primers }

const (
	hashLength    = 8
	mostPrimers   = 1024
	unknownPrimer = "unknown primer"
)

// primers are the definitions that a daemon has read, and its encoders and decoders
// that are past them.
type primers struct {
	lock     sync.Mutex
	known    map[uint64][]byte
	decoders map[decoderKey]*sync.Pool
	encoders map[reflect.Type]*sync.Pool
}

type decoderKey struct {
	hash uint64
	kind reflect.Type
}

func newPrimers() *primers {
	return &primers{known: map[uint64][]byte{}, decoders: map[decoderKey]*sync.Pool{}, encoders: map[reflect.Type]*sync.Pool{}}
}

// split parts a gob into definitions and value: definitions have negative ids.
func split(data []byte) (definitions, value []byte, whole bool) {
	rest := data
	for len(rest) > 0 {
		length, width := gobNumber(rest)
		if width == 0 || length > uint64(len(rest)-width) {
			return nil, nil, false
		}
		id, _ := gobNumber(rest[width:])
		if id&1 == 0 {
			return data[:len(data)-len(rest)], rest, true
		}
		rest = rest[width+int(length):]
	}
	return nil, nil, false
}

// gobNumber reads an unsigned number as gob writes it, and its width.
func gobNumber(data []byte) (uint64, int) {
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
	for _, each := range data[1 : width+1] {
		number = number<<8 | uint64(each)
	}
	return number, width + 1
}

func hashOf(definitions []byte) uint64 {
	sum := fnv.New64a()
	sum.Write(definitions)
	return sum.Sum64()
}

type feeder struct{ bytes.Reader }

type primedDecoder struct {
	*gob.Decoder
	*feeder
	primed bool
}

type primedEncoder struct {
	*gob.Encoder
	buffer bytes.Buffer
	hash   uint64
	primed bool
}

func pool[Key comparable](primers *primers, pools map[Key]*sync.Pool, key Key) *sync.Pool {
	primers.lock.Lock()
	defer primers.lock.Unlock()
	found, known := pools[key]
	if !known {
		if len(pools) >= mostPrimers {
			clear(pools)
		}
		found = &sync.Pool{}
		pools[key] = found
	}
	return found
}

func (s *primers) learn(definitions []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.known) >= mostPrimers {
		clear(s.known)
	}
	if hash := hashOf(definitions); s.known[hash] == nil {
		s.known[hash] = bytes.Clone(definitions)
	}
}

func (s *primers) definitions(hash uint64) []byte {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.known[hash]
}

// Name is the codec's name in the content type.
func (fullCodec) Name() string { return "gob" }

// Marshal encodes a message with its definitions.
func (fullCodec) Marshal(message any) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(message)
	return buffer.Bytes(), err
}

// Unmarshal decodes a message and remembers its definitions.
func (s fullCodec) Unmarshal(data []byte, message any) error {
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(message); err != nil {
		return err
	}
	if definitions, _, whole := split(data); whole {
		s.learn(definitions)
	}
	return nil
}

// Name is the codec's name in the content type.
func (shortCodec) Name() string { return "gob-short" }

// Marshal encodes a message with the hash of its definitions.
func (s shortCodec) Marshal(message any) ([]byte, error) {
	encoders := pool(s.primers, s.encoders, reflect.TypeOf(message))
	encoder, _ := encoders.Get().(*primedEncoder)
	if encoder == nil {
		encoder = &primedEncoder{}
		encoder.Encoder = gob.NewEncoder(&encoder.buffer)
	}
	encoder.buffer.Reset()
	if err := encoder.Encode(message); err != nil {
		return nil, err
	}
	value := encoder.buffer.Bytes()
	if !encoder.primed {
		definitions, rest, whole := split(value)
		if !whole {
			return nil, mishap.New(mishap.Garbage, "a gob without a value")
		}
		encoder.hash, encoder.primed, value = hashOf(definitions), true, rest
	}
	result := binary.BigEndian.AppendUint64(make([]byte, 0, hashLength+len(value)), encoder.hash)
	result = append(result, value...)
	encoders.Put(encoder)
	return result, nil
}

// Unmarshal decodes a message whose definitions are known here.
func (s shortCodec) Unmarshal(data []byte, message any) error {
	if len(data) < hashLength {
		return mishap.New(mishap.Garbage, "a short gob of %d bytes", len(data))
	}
	hash, value := binary.BigEndian.Uint64(data), data[hashLength:]
	definitions := s.definitions(hash)
	if definitions == nil {
		return mishap.New(mishap.Garbage, unknownPrimer)
	}
	decoders := pool(s.primers, s.decoders, decoderKey{hash, reflect.TypeOf(message)})
	decoder, _ := decoders.Get().(*primedDecoder)
	if decoder == nil {
		decoder = &primedDecoder{feeder: &feeder{}}
		decoder.Decoder = gob.NewDecoder(decoder.feeder)
	}
	if !decoder.primed {
		value = append(bytes.Clone(definitions), value...)
	}
	decoder.feeder.Reset(value)
	if err := decoder.Decode(message); err != nil {
		return err
	}
	if decoder.feeder.Len() > 0 {
		return mishap.New(mishap.Garbage, "%d bytes after a gob", decoder.feeder.Len())
	}
	decoder.primed = true
	decoders.Put(decoder)
	return nil
}
