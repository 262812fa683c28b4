package credential

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"coursepass/internal/errcode"
)

// digestOfAbc is the SHA-256 digest of "abc", from the standard that defines SHA-256.
const digestOfAbc = "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"

func TestDigest_TextForm(t *testing.T) {
	if text := DigestOf("abc").String(); text != digestOfAbc {
		t.Errorf("digest %s, want %s", text, digestOfAbc)
	}
	parsed, err := ParseDigest(digestOfAbc)
	if err != nil || parsed != DigestOf("abc") {
		t.Errorf("parsed as %s, error %v", parsed, err)
	}
	encoded, err := json.Marshal([]Digest{DigestOf("abc")})
	if err != nil || string(encoded) != `["`+digestOfAbc+`"]` {
		t.Errorf("encoded as %s, error %v", encoded, err)
	}
}

func TestParseDigest_RejectsAnythingElseWithoutRepeatingIt(t *testing.T) {
	for _, text := range []string{"", "marked-key", "sha256:", "sha256:xy", "sha1:ba78", digestOfAbc[len(digestPrefix):]} {
		digest, err := ParseDigest(text)
		if text == "sha256:" {
			// ParseDigest accepts a prefix without digits. Validate rejects this digest by its length.
			if digest.isValid() {
				t.Error("a digest without digits is valid")
			}
			continue
		}
		if errcode.CodeOf(err, errcode.OK) != errcode.ConfigurationInvalid {
			t.Errorf("%q: error %v, want code ConfigurationInvalid", text, err)
			continue
		}
		if text != "" && strings.Contains(errcode.Text(err), text) {
			t.Errorf("the error repeats the text: %v", err)
		}
	}
}

func TestNewKey_MakesDistinctKeysThatCanBeSent(t *testing.T) {
	known := map[string]bool{}
	for range 1000 {
		key := NewKey()
		if err := CheckKey(key); err != nil {
			t.Fatal(err)
		}
		if known[key] || !strings.HasPrefix(key, "cp_") || len(key) < 40 {
			t.Fatalf("key of %d characters, generated before: %v", len(key), known[key])
		}
		known[key] = true
	}
}

func TestCheckKey(t *testing.T) {
	for name, key := range map[string]string{
		"one character":     "!",
		"all visible ASCII": "!\"#$%&'()*+,-./09:;<=>?@AZ[\\]^_`az{|}~",
		"the longest":       strings.Repeat("k", MaxKeyBytes),
	} {
		if err := CheckKey(key); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, key := range map[string]string{
		"empty":       "",
		"too long":    strings.Repeat("k", MaxKeyBytes+1),
		"space":       "marked key",
		"tab":         "marked\tkey",
		"line break":  "marked\r\nkey",
		"zero byte":   "marked\x00key",
		"delete":      "marked\x7fkey",
		"umlaut":      "märked",
		"broken UTF8": "marked\xff",
	} {
		err := CheckKey(key)
		if errcode.CodeOf(err, errcode.OK) != errcode.ConfigurationInvalid {
			t.Errorf("%s: error %v, want code ConfigurationInvalid", name, err)
			continue
		}
		if strings.Contains(errcode.Text(err), "marked") {
			t.Errorf("%s: the error repeats the key: %v", name, err)
		}
	}
}

func TestFromHeader(t *testing.T) {
	const key = "r26tta828m82thhkmgjq"
	for name, values := range map[string][]string{
		"standard form":        {"Bearer " + key},
		"scheme in lower case": {"bearer " + key},
		"scheme in upper case": {"BEARER " + key},
		"more spaces":          {"  Bearer   " + key + "  "},
	} {
		if got := FromHeader(values); got != Of(key) || got.digest != DigestOf(key) {
			t.Errorf("%s: invalid reason %q, %s", name, got.invalidReason, got)
		}
	}
	if got := FromHeader(nil); got != (Presented{}) {
		t.Errorf("without a header: %s, want the zero value", got)
	}
	for name, test := range map[string]struct {
		values []string
		reason string
	}{
		"empty":              {[]string{""}, "another scheme"},
		"only spaces":        {[]string{" \t "}, "another scheme"},
		"key without scheme": {[]string{key}, "another scheme"},
		"another scheme":     {[]string{"Basic " + key}, "another scheme"},
		"scheme with a tab":  {[]string{"Bearer\t" + key}, "another scheme"},
		"no key":             {[]string{"Bearer"}, "is empty"},
		"spaces for a key":   {[]string{"Bearer    "}, "is empty"},
		"two keys":           {[]string{"Bearer " + key + " " + key}, "visible ASCII"},
		"a list":             {[]string{"Bearer " + key + ", Bearer " + key}, "visible ASCII"},
		"odd bytes":          {[]string{"Bearer " + key + "\x01\xfe"}, "visible ASCII"},
		"too long":           {[]string{"Bearer " + strings.Repeat(key, 1000)}, "too long"},
		"twice":              {[]string{"Bearer " + key, "Bearer " + key}, "more than once"},
		"twice, one empty":   {[]string{"Bearer " + key, ""}, "more than once"},
	} {
		presented := FromHeader(test.values)
		err := presented.Rejection()
		if presented.digest != "" || errcode.CodeOf(err, errcode.OK) != errcode.Unauthenticated {
			t.Errorf("%s: accepted, or rejected with %v; want code Unauthenticated", name, err)
			continue
		}
		if text := errcode.Text(err); !strings.Contains(text, test.reason) || strings.Contains(text, key) {
			t.Errorf("%s: error text %q, want %q in it and no key", name, text, test.reason)
		}
	}
}

func TestPresented_RejectionSaysWhetherThereWasAKey(t *testing.T) {
	for reason, presented := range map[string]Presented{
		"has no Authorization header": {},
		"not one of those in force":   Of("unknown-key"),
	} {
		if text := errcode.Text(presented.Rejection()); !strings.Contains(text, reason) {
			t.Errorf("error text %q, want %q in it", text, reason)
		}
	}
}

func TestPresented_NeverPrints(t *testing.T) {
	const key = "marked-key"
	type message struct {
		Credential Presented
		Pointer    *Presented
	}
	for _, presented := range []Presented{Of(key), FromHeader([]string{"Basic " + key}), FromHeader([]string{key + "\x00"})} {
		value := message{presented, &presented}
		encoded, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		printed := fmt.Sprint(presented, value) + string(encoded) +
			fmt.Sprintf("%s %q %v %+v %#v %+v %#v", presented, presented, presented, presented, presented, value, value)
		for _, secret := range []string{key, DigestOf(key).String(), string(DigestOf(key))} {
			if strings.Contains(printed, secret) {
				t.Errorf("the key or its digest was printed: %s", printed)
			}
		}
		if !strings.Contains(printed, textRedacted) {
			t.Errorf("the redacted text is missing: %s", printed)
		}
	}
	if text := (Presented{}).String(); text != textNone {
		t.Errorf("without a credential: %q, want %q", text, textNone)
	}
}

func TestPresented_MatchesAny(t *testing.T) {
	digests := []Digest{DigestOf("first"), DigestOf("second")}
	for key, want := range map[string]bool{"first": true, "second": true, "third": false} {
		if got := Of(key).MatchesAny(digests); got != want {
			t.Errorf("%s: %v, want %v", key, got, want)
		}
	}
	for name, presented := range map[string]Presented{"none": {}, "invalid header": FromHeader([]string{"Bearer"})} {
		if presented.MatchesAny(append(digests, "")) {
			t.Errorf("%s: unexpected match", name)
		}
	}
}

// tenantsByName returns a map of the tenants by name.
func tenantsByName(tenants ...Tenant) map[string]Tenant {
	byName := map[string]Tenant{}
	for _, tenant := range tenants {
		byName[tenant.Name] = tenant
	}
	return byName
}

func TestValidate(t *testing.T) {
	valid := tenantsByName(
		Tenant{Name: "a", Keys: []Digest{DigestOf("1"), DigestOf("2")}, Priority: 3, HasPriority: true},
		Tenant{Name: "b", Keys: []Digest{DigestOf("3")}},
		Tenant{Name: "without keys"},
		Tenant{Name: "Asociación"},
	)
	if err := Validate(valid); err != nil {
		t.Error(err)
	}
	if err := Validate(nil); err != nil {
		t.Error(err)
	}
	for name, test := range map[string]struct {
		tenants map[string]Tenant
		reason  string
	}{
		"two with one key": {
			tenantsByName(Tenant{Name: "a", Keys: []Digest{DigestOf("1")}}, Tenant{Name: "b", Keys: []Digest{DigestOf("1")}}),
			`tenants "a" and "b" have the same key`,
		},
		"one key twice": {
			tenantsByName(Tenant{Name: "a", Keys: []Digest{DigestOf("1"), DigestOf("1")}}),
			`tenant "a" has a key twice`,
		},
		"the digest of the empty key": {tenantsByName(Tenant{Name: "a", Keys: []Digest{DigestOf("")}}), "not that of a key"},
		"a short digest":              {tenantsByName(Tenant{Name: "a", Keys: []Digest{"short"}}), "not that of a key"},
		"an empty digest":             {tenantsByName(Tenant{Name: "a", Keys: []Digest{""}}), "not that of a key"},
		"no name":                     {tenantsByName(Tenant{}), "no name"},
		"another name":                {map[string]Tenant{"a": {Name: "b"}}, `name "a"`},
		"a long name":                 {tenantsByName(Tenant{Name: strings.Repeat("n", MaxNameBytes+1)}), "more than 256 bytes"},
		"a line break in the name":    {tenantsByName(Tenant{Name: "a\r\nRequest-Id: 1"}), "in a header"},
		"a space after the name":      {tenantsByName(Tenant{Name: "a "}), "in a header"},
		"a priority below 0":          {tenantsByName(Tenant{Name: "a", Priority: -1, HasPriority: true}), "below 0"},
	} {
		err := Validate(test.tenants)
		if errcode.CodeOf(err, errcode.OK) != errcode.ConfigurationInvalid {
			t.Errorf("%s: error %v, want code ConfigurationInvalid", name, err)
			continue
		}
		if text := errcode.Text(err); !strings.Contains(text, test.reason) {
			t.Errorf("%s: error text %q, want %q in it", name, text, test.reason)
		}
	}
}

// The error text is part of a replicated outcome, so all replicas must return the same text.
func TestValidate_ReportsTheSameFaultEachTime(t *testing.T) {
	tenants := map[string]Tenant{}
	for _, name := range []string{"x", "y", "z"} {
		tenants[name] = Tenant{Name: name, Keys: []Digest{DigestOf("shared")}}
	}
	for range 50 {
		if text := errcode.Text(Validate(tenants)); !strings.Contains(text, `"x" and "y"`) {
			t.Fatalf("error text %q, want the first two tenants in it", text)
		}
	}
}

func TestIndex_Find(t *testing.T) {
	index := NewIndex(tenantsByName(
		Tenant{Name: "a", Keys: []Digest{DigestOf("1"), DigestOf("2")}},
		Tenant{Name: "b", Keys: []Digest{DigestOf("3")}},
		Tenant{Name: "c"},
	))
	for key, want := range map[string]string{"1": "a", "2": "a", "3": "b"} {
		if tenant := index.Find(Of(key)); tenant == nil || tenant.Name != want {
			t.Errorf("key %s: tenant %v, want %s", key, tenant, want)
		}
	}
	for name, presented := range map[string]Presented{
		"unknown key": Of("4"), "no key": {}, "invalid header": FromHeader([]string{"Bearer"}),
	} {
		if tenant := index.Find(presented); tenant != nil {
			t.Errorf("%s: tenant %s, want none", name, tenant.Name)
		}
	}
	var none *Index
	if none.Find(Of("1")) != nil {
		t.Error("a nil index returned a tenant")
	}
}

// Two digests with the same first bytes share a bucket. Find must compare the complete digests.
func TestIndex_FindsAmongEqualBeginnings(t *testing.T) {
	sum := DigestOf("1")
	similar := sum[:31] + Digest([]byte{^sum[31]})
	index := NewIndex(tenantsByName(
		Tenant{Name: "a", Keys: []Digest{similar}},
		Tenant{Name: "b", Keys: []Digest{sum}},
	))
	if tenant := index.Find(Of("1")); tenant == nil || tenant.Name != "b" {
		t.Errorf("tenant %v, want b", tenant)
	}
}

// newTenants returns count tenants with two keys each.
func newTenants(count int) map[string]Tenant {
	tenants := make(map[string]Tenant, count)
	for number := range count {
		name := fmt.Sprint("tenant-", number)
		tenants[name] = Tenant{Name: name, Keys: []Digest{DigestOf(name + "-old"), DigestOf(name + "-new")}}
	}
	return tenants
}

// Validate and NewIndex must not take quadratic time in the number of tenants: with this number of
// tenants, quadratic time would far exceed the limit.
func TestManyTenants(t *testing.T) {
	const count, limit = 50_000, 10 * time.Second
	tenants := newTenants(count)
	startedAt := time.Now()
	if err := Validate(tenants); err != nil {
		t.Fatal(err)
	}
	index := NewIndex(tenants)
	for name := range tenants {
		if tenant := index.Find(Of(name + "-new")); tenant == nil || tenant.Name != name {
			t.Fatalf("key of %s: tenant %v", name, tenant)
		}
	}
	if elapsed := time.Since(startedAt); elapsed > limit {
		t.Errorf("%d tenants took %v, limit %v", count, elapsed, limit)
	}
}

func BenchmarkValidate(b *testing.B) {
	tenants := newTenants(5000)
	for b.Loop() {
		if err := Validate(tenants); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkNewIndex(b *testing.B) {
	tenants := newTenants(5000)
	for b.Loop() {
		NewIndex(tenants)
	}
}

func BenchmarkFromHeaderAndFind(b *testing.B) {
	index := NewIndex(newTenants(5000))
	header := []string{"Bearer tenant-4321-new"}
	b.ReportAllocs()
	for b.Loop() {
		if index.Find(FromHeader(header)) == nil {
			b.Fatal("not found")
		}
	}
}

func FuzzFromHeader(f *testing.F) {
	for _, text := range []string{
		"", "Bearer", "Bearer ", "bearer k", "Bearer  k ", "Basic dXNlcg==", "Bearer a b", "Bearer \x00", "Bearer ÿ",
		"Bearer " + strings.Repeat("k", MaxKeyBytes), "Bearer " + strings.Repeat("k", MaxKeyBytes+1),
	} {
		f.Add(text, false)
		f.Add(text, true)
	}
	f.Fuzz(func(t *testing.T, text string, doubled bool) {
		values := []string{text}
		if doubled {
			values = append(values, text)
		}
		presented := FromHeader(values)
		if (presented.digest == "") == (presented.invalidReason == "") {
			t.Fatalf("a digest and an invalid reason, or neither: %q", text)
		}
		rejection := errcode.Text(presented.Rejection())
		if len(rejection) > 200 || len(text) > len("Bearer ")+8 && strings.Contains(rejection, strings.TrimSpace(text)) {
			t.Fatalf("the rejection is too long or repeats the header: %s", rejection)
		}
		if presented.digest == "" {
			return
		}
		// Only a single value with the scheme and one valid key is accepted.
		fields := strings.Fields(text)
		if doubled || len(fields) != 2 || !strings.EqualFold(fields[0], Scheme) {
			t.Fatalf("accepted, want rejected: %q", text)
		}
		if CheckKey(fields[1]) != nil || presented != Of(fields[1]) {
			t.Fatalf("accepted with an invalid or different key: %q", text)
		}
	})
}
