package plan

import (
	"hash/maphash"
	"maps"
)

// shardCount is the number of parts of an index. A change copies one part: with 1,650
// routes these are 13 entries, 1 to 2 KB.
const shardCount = 128

// hashSeed is the seed of the hashes of keys, which do not leave the process.
var hashSeed = maphash.MakeSeed()

// shards is a map in parts that the indexes of several versions share. It does not change
// once it is part of a Plan. Its zero value is empty.
type shards[K comparable, V any] struct {
	hash  func(K) uint64
	parts *[shardCount]map[K]V
	count int
}

func (s *shards[K, V]) get(key K) (V, bool) {
	if s.parts == nil {
		var none V
		return none, false
	}
	v, ok := s.parts[s.hash(key)%shardCount][key]
	return v, ok
}

// editor changes a copy of shards. Only the parts that change are copied.
type editor[K comparable, V any] struct {
	shards[K, V]
	copied [shardCount]bool
	began  bool
}

func (e *editor[K, V]) part(key K) map[K]V {
	if !e.began {
		parts := [shardCount]map[K]V{}
		if e.parts != nil {
			parts = *e.parts
		}
		e.parts, e.began = &parts, true
	}
	i := e.hash(key) % shardCount
	if !e.copied[i] {
		if e.parts[i] = maps.Clone(e.parts[i]); e.parts[i] == nil {
			e.parts[i] = map[K]V{}
		}
		e.copied[i] = true
	}
	return e.parts[i]
}

func (e *editor[K, V]) set(key K, v V) {
	part := e.part(key)
	if _, ok := part[key]; !ok {
		e.count++
	}
	part[key] = v
}

func (e *editor[K, V]) remove(key K) {
	part := e.part(key)
	if _, ok := part[key]; ok {
		e.count--
		delete(part, key)
	}
}

func hashRouteKey(k routeKey) uint64 {
	// The factor, an odd number, keeps a host and prefix with equal texts from cancelling out.
	return maphash.String(hashSeed, k.host)*31 + maphash.String(hashSeed, k.prefix)
}

func hashText[K ~string](key K) uint64 { return maphash.String(hashSeed, string(key)) }
