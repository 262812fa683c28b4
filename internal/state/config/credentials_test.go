package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"coursepass/internal/errcode"
	"coursepass/internal/state/credential"
)

// tenantsDocument returns a document with tenants that have one kind of request each. fields maps
// the name of a tenant to the CUE text of its other fields.
func tenantsDocument(fields map[string]string) string {
	var tenants strings.Builder
	for name, text := range fields {
		fmt.Fprintf(&tenants, "tenants: %q: {kinds: k: {service: \"s\", abandonMilliseconds: 3000}, %s}\n", name, text)
	}
	return "halls: [\"a\"]\nparameters: {}\nservices: s: versions: [\"1\"]\n" + tenants.String()
}

// digestList returns a CUE field with the digests of these keys as credentials.
func digestList(keys ...string) string {
	var digests []string
	for _, key := range keys {
		digests = append(digests, fmt.Sprintf("%q", credential.DigestOf(key)))
	}
	return "credentials: [" + strings.Join(digests, ", ") + "]"
}

func TestExpand_Credentials(t *testing.T) {
	plan, err := Expand(tenantsDocument(map[string]string{
		"rotates": digestList("old", "new"),
		"closed":  digestList("other"),
		"open":    "",
	}), nil)
	if err != nil {
		t.Fatal(err)
	}
	want := []credential.Digest{credential.DigestOf("old"), credential.DigestOf("new")}
	if got := plan.Tenants["rotates"].Credentials; !slices.Equal(got, want) {
		t.Errorf("credentials are %v, want %v", got, want)
	}
	for name, test := range map[string]struct {
		tenant    string
		presented credential.Presented
		code      errcode.Code
	}{
		"the old key":               {"rotates", credential.Of("old"), errcode.OK},
		"the new key":               {"rotates", credential.Of("new"), errcode.OK},
		"another tenant's key":      {"rotates", credential.Of("other"), errcode.Unauthenticated},
		"no key":                    {"rotates", credential.Presented{}, errcode.Unauthenticated},
		"an unreadable key":         {"closed", credential.FromHeader([]string{"other"}), errcode.Unauthenticated},
		"an open tenant":            {"open", credential.Presented{}, errcode.OK},
		"an open tenant with a key": {"open", credential.Of("other"), errcode.OK},
		"a tenant that is unknown":  {"unknown", credential.Presented{}, errcode.OK},
	} {
		if err := plan.Authenticate(test.tenant, test.presented); errcode.CodeOf(err, errcode.StartFailed) != test.code {
			t.Errorf("%s: %v, want code %d", name, err, test.code)
		}
	}
}

func TestExpand_RejectsInvalidCredentialsWithoutRepeatingThem(t *testing.T) {
	upper := strings.ToUpper(credential.DigestOf("marked").String())
	for name, test := range map[string]struct {
		tenants map[string]string
		reason  string
	}{
		"a key in clear":            {map[string]string{"a": `credentials: ["marked-key"]`}, "credentials.0: not digests"},
		"a key in place of a list":  {map[string]string{"a": `credentials: "marked-key"`}, "credentials: not digests"},
		"a digest in capitals":      {map[string]string{"a": fmt.Sprintf("credentials: [%q]", upper)}, "not digests"},
		"a digest and more":         {map[string]string{"a": strings.Replace(digestList("marked"), "\"]", "00\"]", 1)}, "not digests"},
		"a number":                  {map[string]string{"a": "credentials: [17]"}, "not digests"},
		"an empty list":             {map[string]string{"a": "credentials: []"}, "credentials"},
		"the digest of the empty":   {map[string]string{"a": digestList("")}, "not that of a key"},
		"one key twice":             {map[string]string{"a": digestList("marked", "marked")}, `"a" has a key twice`},
		"two tenants with one key":  {map[string]string{"a": digestList("marked"), "b": digestList("marked")}, `"a" and "b" have the same key`},
		"an unknown field besides":  {map[string]string{"a": digestList("marked") + ", keys: []"}, "keys"},
		"another fault and a key":   {map[string]string{"a": `credentials: ["marked-key"], repeatPercent: 99`}, "repeatPercent"},
		"a key through a parameter": {map[string]string{"a": `credentials: [parameters.missing, "marked-key"]`}, ""},
	} {
		_, err := Expand(tenantsDocument(test.tenants), nil)
		if errcode.CodeOf(err, errcode.OK) != errcode.ConfigurationInvalid {
			t.Errorf("%s: %v, want code %d", name, err, errcode.ConfigurationInvalid)
			continue
		}
		if text := errcode.Text(err); !strings.Contains(text, test.reason) || strings.Contains(text, "marked-key") {
			t.Errorf("%s: the text must contain %q and no key: %s", name, test.reason, text)
		}
	}
}

// tenantWithKeys returns a tenant that has the digests of these keys.
func tenantWithKeys(name string, keys ...string) credential.Tenant {
	tenant := credential.Tenant{Name: name}
	for _, key := range keys {
		tenant.Keys = append(tenant.Keys, credential.DigestOf(key))
	}
	return tenant
}

// tenantMap returns the tenants by name.
func tenantMap(tenants ...credential.Tenant) map[string]credential.Tenant {
	byName := map[string]credential.Tenant{}
	for _, tenant := range tenants {
		byName[tenant.Name] = tenant
	}
	return byName
}

// applyTenants applies an operation on routes without drafting it, and returns the code of its
// outcome.
func applyTenants(t *testing.T, state *State, kind OperationKind, routing Routing) errcode.Code {
	t.Helper()
	operation := Operation{Request: Request{Kind: kind, Routing: &routing}}
	outcome, err := DecodeOutcome(state.Apply(operation.Encode()))
	if err != nil {
		t.Fatal(err)
	}
	return outcome.Code
}

// hasKey reports whether the tenant has this key in the current routing.
func hasKey(state *State, tenant, key string) bool {
	return slices.Contains(state.RouteTable.Tenants[tenant].Keys, credential.DigestOf(key))
}

func TestApply_TenantsArePutAndRemoved(t *testing.T) {
	state := NewState()
	if code := applyTenants(t, state, OperationReplaceRoutes, Routing{Label: 1, Digest: "1"}); code != errcode.OK {
		t.Fatal(code)
	}
	if state.RouteTable.Tenants != nil {
		t.Fatal("a routing without tenants created a tenant map")
	}
	first := Routing{Label: 2, ParentLabel: 1, Digest: "2", Tenants: tenantMap(tenantWithKeys("a", "1"), tenantWithKeys("b", "2"))}
	if code := applyTenants(t, state, OperationPatchRoutes, first); code != errcode.OK || !hasKey(state, "a", "1") {
		t.Fatal(code, state.RouteTable.Tenants)
	}
	before := state.View()
	rotation := Routing{Label: 5, ParentLabel: 2, Digest: "3", Tenants: tenantMap(tenantWithKeys("a", "1", "3"))}
	if code := applyTenants(t, state, OperationPatchRoutes, rotation); code != errcode.OK {
		t.Fatal(code)
	}
	if !hasKey(state, "a", "1") || !hasKey(state, "a", "3") || !hasKey(state, "b", "2") {
		t.Fatal(state.RouteTable.Tenants)
	}
	if len(before.RouteTable.Tenants["a"].Keys) != 1 {
		t.Error("a patch modified the tenants of an earlier view")
	}
	removal := Routing{Label: 6, ParentLabel: 5, Digest: "4", Remove: map[string][]string{CollectionTenants: {"a", "b"}}}
	if code := applyTenants(t, state, OperationPatchRoutes, removal); code != errcode.OK {
		t.Fatal(code)
	}
	if state.RouteTable.Tenants == nil || len(state.RouteTable.Tenants) > 0 {
		t.Fatal("the removal of the last tenant admits callers without a key:", state.RouteTable.Tenants)
	}
	restored := NewState()
	restored.Restore(state.Snapshot())
	if restored.RouteTable.Tenants == nil {
		t.Fatal("a snapshot lost the empty tenant map, so that callers without a key are admitted")
	}
	if code := applyTenants(t, state, OperationReplaceRoutes, Routing{Label: 8, ParentLabel: 6, Digest: "5"}); code != errcode.OK {
		t.Fatal(code)
	}
	if state.RouteTable.Tenants != nil {
		t.Error("a replacement without tenants kept the tenant map")
	}
}

func TestApply_RejectedTenantsChangeNothing(t *testing.T) {
	state := NewState()
	initial := Routing{Label: 1, Digest: "1", Tenants: tenantMap(tenantWithKeys("a", "1"), tenantWithKeys("b", "2"))}
	if code := applyTenants(t, state, OperationReplaceRoutes, initial); code != errcode.OK {
		t.Fatal(code)
	}
	for name, tenants := range map[string]map[string]credential.Tenant{
		"a key of another tenant": tenantMap(tenantWithKeys("c", "1")),
		"one key twice":           tenantMap(tenantWithKeys("a", "3", "3")),
		"the empty key":           tenantMap(tenantWithKeys("a", "")),
		"another name":            {"c": tenantWithKeys("d", "4")},
		"no name":                 tenantMap(tenantWithKeys("", "4")),
	} {
		change := Routing{Label: 2, ParentLabel: 1, Digest: name, Tenants: tenants}
		if code := applyTenants(t, state, OperationPatchRoutes, change); code != errcode.ConfigurationInvalid {
			t.Errorf("%s: code %d, want %d", name, code, errcode.ConfigurationInvalid)
		}
		if state.Label != 1 || len(state.RouteTable.Tenants) != 2 || !hasKey(state, "a", "1") || !hasKey(state, "b", "2") {
			t.Errorf("%s: the rejection changed the state: label %d, tenants %v", name, state.Label, state.RouteTable.Tenants)
		}
	}
	// A key may move from one tenant to another within one change.
	moved := Routing{Label: 3, ParentLabel: 1, Digest: "moved", Tenants: tenantMap(tenantWithKeys("a"), tenantWithKeys("c", "1"))}
	if code := applyTenants(t, state, OperationPatchRoutes, moved); code != errcode.OK || !hasKey(state, "c", "1") {
		t.Errorf("a key moved to another tenant: code %d, tenants %v", code, state.RouteTable.Tenants)
	}
}

func TestItem_NeverPrintsItsText(t *testing.T) {
	request := Request{Routing: &Routing{
		Items:  map[string][]Item{CollectionTenants: {{Name: "a", Text: `{"keys":["marked-key"]}`}}},
		Others: []Item{{Name: "other", Text: "marked-key"}},
	}}
	view := View{Items: request.Routing.Items, Others: request.Routing.Others}
	printed := fmt.Sprintf("%v %+v %#v %+v %#v", request.Routing, request.Routing, request.Routing, view, view)
	if strings.Contains(printed, "marked-key") {
		t.Error("the text of an item was printed:", printed)
	}
}
