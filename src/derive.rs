//! Macros for sets of derives that many types share.

/// Derives `Clone, Debug, PartialEq` for each item.
#[macro_export]
macro_rules! derive_value {
    ($($item:item)*) => { $( #[derive(Clone, Debug, PartialEq)] $item )* };
}

/// Derives the traits of a small `Copy` type that is compared, ordered and used as a map key.
#[macro_export]
macro_rules! derive_key {
    ($($item:item)*) => {
        $( #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)] $item )*
    };
}
