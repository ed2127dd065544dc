package answer

import "testing"

func TestExtend(t *testing.T) {
	t.Run("segments yield the response to the whole prompt", func(t *testing.T) {
		handle, _, err := Extend("", "a long ")
		if err != nil {
			t.Fatal(err)
		}
		_, got, err := Extend(handle, "prompt")
		if err != nil {
			t.Fatal(err)
		}
		if want := Of("a long prompt"); got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	})
	t.Run("an invalid handle is an error", func(t *testing.T) {
		if _, _, err := Extend("nothing", "x"); err == nil {
			t.Error("got no error, want one")
		}
	})
}
