package estimator

import (
	"math"
	"strconv"
	"strings"
)

// number formats a value with three significant digits, and with k, M, G or T from 10,000 on.
func number(value float64) string {
	magnitude := math.Abs(value)
	for _, unit := range []struct {
		from, divisor float64
		suffix        string
	}{{1e12, 1e12, " T"}, {1e9, 1e9, " G"}, {1e6, 1e6, " M"}, {1e4, 1e3, " k"}} {
		if magnitude >= unit.from {
			return digits(value/unit.divisor) + unit.suffix
		}
	}
	return digits(value)
}

func digits(value float64) string {
	if math.Abs(value) >= 100 {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	if math.Abs(value) >= 1e-4 || value == 0 {
		return strconv.FormatFloat(roundSignificant(value), 'f', -1, 64)
	}
	return strconv.FormatFloat(value, 'e', 1, 64)
}

func roundSignificant(value float64) float64 {
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(value, 'g', 3, 64), 64)
	return rounded
}

// String returns the value with its mark, and "not measured yet" if no term is known.
func (quantity Quantity) String() string {
	if quantity.value == 0 && len(quantity.missing) > 0 {
		return "not measured yet"
	}
	if quantity.value == 0 {
		return "0"
	}
	text := number(quantity.value) + " " + quantity.grade.mark()
	if len(quantity.missing) > 0 {
		text += " + ?"
	}
	return text
}

// String returns the grade in words.
func (grade Grade) String() string {
	return [...]string{"calculated", "extrapolated", "extrapolated beyond the measured sizes", "not fitted"}[grade]
}

func (grade Grade) mark() string {
	return [...]string{"*c*", "*x*", "*xx*", "*nf*"}[grade]
}

func percent(quantity Quantity, budget float64) string {
	if quantity.value == 0 && len(quantity.missing) > 0 {
		return "?"
	}
	text := number(100*quantity.value/budget) + "%"
	if quantity.value > budget {
		text = "**" + text + "**"
	}
	if len(quantity.missing) > 0 {
		text += " + ?"
	}
	return text
}

func upperFirst(text string) string {
	if text == "" {
		return text
	}
	return strings.ToUpper(text[:1]) + text[1:]
}

func orUnknown(text string) string {
	if text == "" {
		return "not named"
	}
	return text
}
