package wireform

// Slice converts the elements of a slice. A nil slice stays nil.
func Slice[Source, Target any](elements []Source, convert func(Source) Target) []Target {
	if elements == nil {
		return nil
	}
	converted := make([]Target, len(elements))
	for index, element := range elements {
		converted[index] = convert(element)
	}
	return converted
}

// Map converts the values of a map. A nil map stays nil.
func Map[Key comparable, Source, Target any](values map[Key]Source, convert func(Source) Target) map[Key]Target {
	if values == nil {
		return nil
	}
	converted := make(map[Key]Target, len(values))
	for key, value := range values {
		converted[key] = convert(value)
	}
	return converted
}

// Pointer converts the value that a pointer refers to. A nil pointer stays nil.
func Pointer[Source, Target any](value *Source, convert func(Source) Target) *Target {
	if value == nil {
		return nil
	}
	converted := convert(*value)
	return &converted
}
