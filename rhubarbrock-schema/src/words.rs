//! Serde modules (for `#[serde(with)]`) that write enum fields of release notes as lower-case words
//! in JSON and TOML; an unset field is the empty string.

macro_rules! words {
    ($module:ident, $enum:path, $doc:literal, [$(($word:literal, $variant:ident)),+ $(,)?]) => {
        #[doc = $doc]
        pub mod $module {
            use serde::{Deserialize, Deserializer, Serializer, de};
            use $enum as Enum;

            /// Serializes an enum number as its word; unset or unknown numbers become the empty
            /// string.
            pub fn serialize<S: Serializer>(value: &i32, serializer: S) -> Result<S::Ok, S::Error> {
                let word = match Enum::try_from(*value) {
                    $(Ok(Enum::$variant) => $word,)+
                    _ => "",
                };
                serializer.serialize_str(word)
            }

            /// Deserializes an enum number from its word; unknown words are errors.
            pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i32, D::Error> {
                let word = String::deserialize(deserializer)?;
                match word.as_str() {
                    $($word => Ok(Enum::$variant as i32),)+
                    "" => Ok(Enum::Unspecified as i32),
                    _ => Err(de::Error::unknown_variant(&word, &[$($word),+])),
                }
            }
        }
    };
}

words!(
    objective,
    crate::release::Objective,
    "Writes an [`Objective`](crate::release::Objective) as `cost` or `latency`.",
    [("cost", Cost), ("latency", Latency)]
);

words!(
    service_kind,
    crate::release::ServiceKind,
    "Writes a [`ServiceKind`](crate::release::ServiceKind) as `model` or `plain`.",
    [("model", Model), ("plain", Plain)]
);
