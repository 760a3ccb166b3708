//! Macros that define the newtypes of this crate.

/// Defines a newtype over an unsigned integer that reads and prints decimal.
macro_rules! decimal {
    ($(#[$meta:meta])* $name:ident($inner:ty)) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::Error;

            fn from_str(s: &str) -> crate::Result<Self> {
                s.parse().map($name).map_err(|_| {
                    crate::Error::new(crate::Category::Number, s, "a decimal number in range")
                })
            }
        }
    };
}

/// Defines a newtype over `u64` that reads and prints 16 hexadecimal digits.
macro_rules! hexadecimal {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::Error;

            fn from_str(s: &str) -> crate::Result<Self> {
                u64::from_str_radix(s, 16).map($name).map_err(|_| {
                    crate::Error::new(crate::Category::Number, s, "up to 16 hexadecimal digits")
                })
            }
        }
    };
}

/// Defines a name: 1 to 63 ASCII letters, digits, `-`, `_` or `.`.
macro_rules! label {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// Always valid as checked by `check_label`, so always ASCII.
            bytes::Bytes,
        );

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                std::str::from_utf8(&self.0).unwrap_or_default()
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(self.as_str())
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::Error;

            fn from_str(s: &str) -> crate::Result<Self> {
                crate::process::check_label(s)?;
                Ok($name(bytes::Bytes::copy_from_slice(s.as_bytes())))
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, ser: S) -> std::result::Result<S::Ok, S::Error> {
                ser.serialize_str(self.as_str())
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(
                de: D,
            ) -> std::result::Result<Self, D::Error> {
                let text = <String as serde::Deserialize>::deserialize(de)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}
