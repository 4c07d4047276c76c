package settings

import (
	"fmt"
	"testing"
)

func TestMergePatch(t *testing.T) {
	got, err := MergePatch([]byte(`{"a":{"b":1,"c":2},"d":[1]}`), []byte(`{"a":{"b":null,"e":{"f":null,"g":3}},"d":[2]}`))
	if want := `{"a":{"c":2,"e":{"g":3}},"d":[2]}`; err != nil || string(got) != want {
		t.Errorf("got %s, %v", got, err)
	}
}

func TestDiff(t *testing.T) {
	got := fmt.Sprintf("%s", Diff([]byte(`{"a":{"b":1,"c":2},"d":[1,2]}`), []byte(`{"a":{"b":1,"c":3},"d":[1],"e":"x"}`)))
	if want := `[{/a/c 2 3} {/d/1 2 } {/e  "x"}]`; got != want {
		t.Errorf("got %s", got)
	}
}

func TestCheckDeleteAndKeys(t *testing.T) {
	s, _ := Build(sound())
	if found := s.CheckDelete(KindServices, "assistente"); len(found) != 3 {
		t.Errorf("service: %v", found)
	}
	if found := s.CheckDelete(KindAccounts, "loja-1"); len(found) != 0 {
		t.Errorf("account: %v", found)
	}
	hash := s.Accounts["loja-1"].KeyHashes[0]
	if found := s.CheckKeys(doc(KindAccounts, "z", `{"key_hashes":["`+hash+`"]}`)); len(found) != 1 {
		t.Errorf("shared key: %v", found)
	}
	if found := s.CheckKeys(doc(KindAccounts, "loja-1", `{"key_hashes":["`+hash+`"]}`)); len(found) != 0 {
		t.Errorf("own key: %v", found)
	}
}
