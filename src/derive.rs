//! Common derive sets.

/// Derives `Clone, Debug, PartialEq` for a plain value.
#[macro_export]
macro_rules! plain {
    ($($item:item)*) => { $( #[derive(Clone, Debug, PartialEq)] $item )* };
}

/// Derives what a small value needs to be copied, compared and used as a key.
#[macro_export]
macro_rules! plain_key {
    ($($item:item)*) => {
        $( #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)] $item )*
    };
}
