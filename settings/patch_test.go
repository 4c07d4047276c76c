package settings

import (
	"fmt"
	"testing"
)

func TestMergePatch(t *testing.T) {
	got, err := MergePatch([]byte(`{"a":{"b":1,"c":2},"d":[1]}`), []byte(`{"a":{"b":null,"e":{"f":null,"g":3}},"d":[2]}`))
	if want := `{"a":{"c":2,"e":{"g":3}},"d":[2]}`; err != nil || string(got) != want {
		t.Errorf("got %s with error %v, want %s", got, err, want)
	}
}

func TestDiff(t *testing.T) {
	got := fmt.Sprintf("%s", Diff([]byte(`{"a":{"b":1,"c":2},"d":[1,2]}`), []byte(`{"a":{"b":1,"c":3},"d":[1],"e":"x"}`)))
	if want := `[{/a/c 2 3} {/d/1 2 } {/e  "x"}]`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestCheckDeleteAndCheckKeys(t *testing.T) {
	s, _ := Build(validDocuments())
	if findings := s.CheckDelete(KindServices, "assistente"); len(findings) != 3 {
		t.Errorf("service: got %v, want 3 findings", findings)
	}
	if findings := s.CheckDelete(KindAccounts, "loja-1"); len(findings) != 0 {
		t.Errorf("account: got %v, want no findings", findings)
	}
	hash := s.Accounts["loja-1"].KeyHashes[0]
	if findings := s.CheckKeys(doc(KindAccounts, "z", `{"key_hashes":["`+hash+`"]}`)); len(findings) != 1 {
		t.Errorf("shared key: got %v, want one finding", findings)
	}
	if findings := s.CheckKeys(doc(KindAccounts, "loja-1", `{"key_hashes":["`+hash+`"]}`)); len(findings) != 0 {
		t.Errorf("own key: got %v, want no findings", findings)
	}
}
