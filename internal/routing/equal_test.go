package routing

import (
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a field of Route that Equal leaves out.
func TestRoutesThatDifferInOneFieldAreNotEqual(t *testing.T) {
	c := qt.New(t)
	for i := range reflect.TypeFor[Route]().NumField() {
		var a, b Route
		switch f := reflect.ValueOf(&b).Elem().Field(i); f.Kind() {
		case reflect.String:
			f.SetString("x")
		case reflect.Bool:
			f.SetBool(true)
		case reflect.Int, reflect.Int64:
			f.SetInt(1)
		case reflect.Slice:
			f.Set(reflect.MakeSlice(f.Type(), 1, 1))
		default:
			c.Fatalf("a field of kind %s", f.Kind())
		}
		c.Check(a.Equal(&b), qt.IsFalse, qt.Commentf("%s", reflect.TypeFor[Route]().Field(i).Name))
	}
	c.Check((&Route{Split: []WeightedService{{Service: "s"}}}).Equal(&Route{Split: []WeightedService{{Service: "s"}}}), qt.IsTrue)
}
