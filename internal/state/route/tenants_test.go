package route_test

import (
	"testing"

	"coursepass/internal/errcode"
	"coursepass/internal/state/credential"
	"coursepass/internal/state/route"
)

// newTenantTable returns the test table with a public route and three tenants: one with a priority,
// one with two keys, and one without a key.
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
	invalidHeader := credential.FromHeader([]string{"Basic key-u"})
	for name, test := range map[string]struct {
		path      string
		presented credential.Presented
		tenant    string
		code      errcode.Code
	}{
		"a key":                               {"/a/", credential.Of("key-u"), "urgent", errcode.OK},
		"the first key of two":                {"/a/", credential.Of("key-1"), "rotates", errcode.OK},
		"the second key of two":               {"/a/", credential.Of("key-2"), "rotates", errcode.OK},
		"an unknown key":                      {"/a/", credential.Of("key-3"), "", errcode.Unauthenticated},
		"no key":                              {"/a/", credential.Presented{}, "", errcode.Unauthenticated},
		"an invalid header":                   {"/a/", invalidHeader, "", errcode.Unauthenticated},
		"a key on a public route":             {"/b/", credential.Of("key-u"), "urgent", errcode.OK},
		"an unknown key on a public route":    {"/b/", credential.Of("key-3"), "", errcode.OK},
		"no key on a public route":            {"/b/", credential.Presented{}, "", errcode.OK},
		"an invalid header on a public route": {"/b/", invalidHeader, "", errcode.OK},
	} {
		tenant, err := table.Authenticate(table.Find("h", test.path), test.presented)
		if code := errcode.CodeOf(err, errcode.StartFailed); code != test.code {
			t.Errorf("%s: error %v, want code %d", name, err, test.code)
		}
		if got := tenantName(tenant); got != test.tenant {
			t.Errorf("%s: tenant %q, want %q", name, got, test.tenant)
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
			t.Errorf("%s: tenant %v, error %v; want neither", name, tenant, err)
		}
	}
	table.Tenants = map[string]credential.Tenant{}
	table.BuildIndex()
	if _, err := table.Authenticate(table.Find("h", "/"), credential.Presented{}); err == nil {
		t.Error("a request without a key was accepted although the map of tenants is not nil")
	}
}

func TestRoute_EffectivePriority(t *testing.T) {
	target := route.Route{Priority: 2}
	for name, test := range map[string]struct {
		tenant *credential.Tenant
		want   int
	}{
		"no tenant":                   {nil, 2},
		"a tenant without a priority": {&credential.Tenant{Priority: 7}, 2},
		"a tenant with a priority":    {&credential.Tenant{Priority: 7, HasPriority: true}, 7},
		"a tenant with priority 0":    {&credential.Tenant{HasPriority: true}, 0},
	} {
		if got := target.EffectivePriority(test.tenant); got != test.want {
			t.Errorf("%s: priority %d, want %d", name, got, test.want)
		}
	}
}

func TestTable_ValidateChecksTenants(t *testing.T) {
	table := newTenantTable()
	table.Tenants["other"] = credential.Tenant{Name: "other", Keys: []credential.Digest{credential.DigestOf("key-u")}}
	if code := errcode.CodeOf(table.Validate(), errcode.OK); code != errcode.ConfigurationInvalid {
		t.Errorf("two tenants with the same key: code %d, want ConfigurationInvalid", code)
	}
}
