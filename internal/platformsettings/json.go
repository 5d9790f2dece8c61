package platformsettings

import (
	"fmt"
	"strconv"
	"strings"

	"alderproxy/internal/jsonscan"
)

// ParseJSON parses settings in the form of a nested JSON object, with the same names and units as the lines of Parse.
func ParseJSON(object []byte) (*Values, error) {
	v := &Values{texts: map[string]string{}}
	if err := jsonscan.Object(object, v.flatten); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	v.loadColumns = v.List("feedback.columns")
	return v, nil
}

// flatten adds a value, or each value nested in it, under its path.
func (v *Values) flatten(path string, raw []byte) error {
	switch raw[0] {
	case '{':
		return jsonscan.Object(raw, func(key string, raw []byte) error { return v.flatten(joinPath(path, key), raw) })
	case '[':
		return v.flattenArray(path, raw)
	}
	text, err := scalarText(raw)
	v.texts[path] = text
	return err
}

// flattenArray adds an array of scalars as a comma-separated list, and an array of objects or arrays as a count and the
// values in each, with its index in their paths. An empty array is added in both forms.
func (v *Values) flattenArray(path string, raw []byte) error {
	var scalars []string
	count := 0
	err := jsonscan.Array(raw, func(item []byte) error {
		index := count
		count++
		if item[0] == '{' || item[0] == '[' {
			return v.flatten(joinPath(path, strconv.Itoa(index)), item)
		}
		text, err := scalarText(item)
		scalars = append(scalars, text)
		return err
	})
	if len(scalars) > 0 || count == 0 {
		v.texts[path] = strings.Join(scalars, ",")
	}
	if len(scalars) < count || count == 0 {
		v.texts[joinPath(path, "count")] = strconv.Itoa(count)
	}
	return err
}

func joinPath(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }

// scalarText returns a scalar in the form of the lines of Parse, in which texts have no spaces or commas.
func scalarText(raw []byte) (string, error) {
	if raw[0] != '"' {
		return strings.TrimPrefix(string(raw), "null"), nil
	}
	text, err := jsonscan.String(raw)
	return strings.NewReplacer(" ", "_", ",", "_").Replace(text), err
}
