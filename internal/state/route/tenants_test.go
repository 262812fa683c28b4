package route_test

import (
	"testing"

	"coursepass/internal/errcode"
	"coursepass/internal/state/credential"
	"coursepass/internal/state/route"
)

// newTenantTable returns the test table with a public route and three tenants: with a priority, with
// two keys, and without a key.
func newTenantTable() *route.Table {
	table := newTable()
	public := table.Routes["b"]
	public.Public = true
	table.Routes["b"] = public
	table.Tenants = map[string]credential.Tenant{
		"urgent":  {Name: "urgent", Keys: []credential.Digest{credential.DigestOf("key-u")}, Priority: 0, HasPriority: true},
		"rotates": {Name: "rotates", Keys: []credential.Digest{credential.DigestOf("key-1"), credential.DigestOf("key-2")}},
		"keyless": {Name: "keyless"},
	}
	table.BuildIndex()
	return table
}

func TestTable_Authenticate(t *testing.T) {
	table := newTenantTable()
	if err := table.Validate(); err != nil {
		t.Fatal(err)
	}
	unreadable := credential.FromHeader([]string{"Basic key-u"})
	for name, test := range map[string]struct {
		path      string
		presented credential.Presented
		tenant    string
		code      errcode.Code
	}{
		"a key":                           {"/a/", credential.Of("key-u"), "urgent", errcode.OK},
		"the first key of two":            {"/a/", credential.Of("key-1"), "rotates", errcode.OK},
		"the second key of two":           {"/a/", credential.Of("key-2"), "rotates", errcode.OK},
		"an unknown key":                  {"/a/", credential.Of("key-3"), "", errcode.Unauthenticated},
		"no key":                          {"/a/", credential.Presented{}, "", errcode.Unauthenticated},
		"an unreadable key":               {"/a/", unreadable, "", errcode.Unauthenticated},
		"a key on a public route":         {"/b/", credential.Of("key-u"), "urgent", errcode.OK},
		"an unknown key on a public one":  {"/b/", credential.Of("key-3"), "", errcode.OK},
		"no key on a public one":          {"/b/", credential.Presented{}, "", errcode.OK},
		"an unreadable key, public route": {"/b/", unreadable, "", errcode.OK},
	} {
		tenant, err := table.Authenticate(table.Find("h", test.path), test.presented)
		if code := errcode.CodeOf(err, errcode.StartFailed); code != test.code {
			t.Errorf("%s: %v", name, err)
		}
		if got := tenantName(tenant); got != test.tenant {
			t.Errorf("%s: tenant %q", name, got)
		}
	}
}

func tenantName(tenant *credential.Tenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}

func TestTable_Authenticate_WithoutTenantsEverybodyMayCall(t *testing.T) {
	table := newTable()
	table.BuildIndex()
	for name, presented := range map[string]credential.Presented{"none": {}, "unknown": credential.Of("key")} {
		if tenant, err := table.Authenticate(table.Find("h", "/"), presented); tenant != nil || err != nil {
			t.Errorf("%s: %v, %v", name, tenant, err)
		}
	}
	table.Tenants = map[string]credential.Tenant{}
	table.BuildIndex()
	if _, err := table.Authenticate(table.Find("h", "/"), credential.Presented{}); err == nil {
		t.Error("with an empty list of tenants a request without a key is accepted")
	}
}

func TestRoute_EffectivePriority(t *testing.T) {
	target := route.Route{Priority: 2}
	for name, test := range map[string]struct {
		tenant *credential.Tenant
		want   int
	}{
		"no tenant":                  {nil, 2},
		"a tenant without its own":   {&credential.Tenant{Priority: 7}, 2},
		"a tenant with a priority":   {&credential.Tenant{Priority: 7, HasPriority: true}, 7},
		"a tenant with the priority": {&credential.Tenant{HasPriority: true}, 0},
	} {
		if got := target.EffectivePriority(test.tenant); got != test.want {
			t.Errorf("%s: %d", name, got)
		}
	}
}

func TestTable_ValidateChecksTenants(t *testing.T) {
	table := newTenantTable()
	table.Tenants["other"] = credential.Tenant{Name: "other", Keys: []credential.Digest{credential.DigestOf("key-u")}}
	if code := errcode.CodeOf(table.Validate(), errcode.OK); code != errcode.ConfigurationInvalid {
		t.Errorf("two tenants with one key: code %d", code)
	}
}
