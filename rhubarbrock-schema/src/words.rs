//! Enums of release notes as words, for JSON and TOML.

macro_rules! words {
    ($module:ident, $enum:path, $doc:literal, [$(($word:literal, $variant:ident)),+ $(,)?]) => {
        #[doc = $doc]
        pub mod $module {
            use serde::{Deserialize, Deserializer, Serializer, de};
            use $enum as Enum;

            /// Writes the enum's number as its word.
            pub fn serialize<S: Serializer>(value: &i32, serializer: S) -> Result<S::Ok, S::Error> {
                let word = match Enum::try_from(*value) {
                    $(Ok(Enum::$variant) => $word,)+
                    _ => "",
                };
                serializer.serialize_str(word)
            }

            /// Reads the enum's number from its word.
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
    "Words of [`Objective`](crate::release::Objective).",
    [("cost", Cost), ("latency", Latency)]
);

words!(
    service_kind,
    crate::release::ServiceKind,
    "Words of [`ServiceKind`](crate::release::ServiceKind).",
    [("model", Model), ("plain", Plain)]
);
