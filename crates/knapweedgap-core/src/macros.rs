//! Macros that define newtypes with a common set of traits.

/// Defines an id that is a short name: 1 to 128 of the characters `A-Z a-z 0-9 . _ - :`.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(try_from = "smol_str::SmolStr", into = "smol_str::SmolStr")]
        pub struct $name(smol_str::SmolStr);

        impl $name {
            /// Returns the id as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::parse::Error;

            fn from_str(text: &str) -> Result<$name, crate::parse::Error> {
                if crate::id::is_name(text) {
                    return Ok($name(smol_str::SmolStr::new(text)));
                }
                Err(crate::parse::Error::new($what, text, crate::id::NAME_HELP))
            }
        }

        impl TryFrom<smol_str::SmolStr> for $name {
            type Error = crate::parse::Error;

            fn try_from(text: smol_str::SmolStr) -> Result<$name, crate::parse::Error> {
                text.parse()
            }
        }

        impl From<$name> for smol_str::SmolStr {
            fn from(id: $name) -> smol_str::SmolStr {
                id.0
            }
        }
    };
}

/// Defines a newtype over an unsigned integer whose text form is a decimal number.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $int:ty, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            derive_more::Display, serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($int);

        impl $name {
            /// Creates a value from a plain number in the unit of this type.
            pub const fn new(value: $int) -> $name {
                $name(value)
            }

            /// Returns the value as a plain number.
            pub const fn get(self) -> $int {
                self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::parse::Error;

            fn from_str(text: &str) -> Result<$name, crate::parse::Error> {
                text.parse().map($name).map_err(|_| {
                    crate::parse::Error::new($what, text, "write an unsigned decimal number")
                })
            }
        }
    };
}

pub(crate) use name;
pub(crate) use number;
