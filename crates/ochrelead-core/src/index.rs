//! Dense indices in place of the host's identifiers, with a separate type for each kind of item.

/// An index into a table of items of one kind.
pub(crate) trait Index: Copy {
    /// Returns the index of the item at this position.
    fn from_position(position: usize) -> Self;

    /// Returns the position of the item.
    fn position(self) -> usize;
}

macro_rules! index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(u32);

        impl $name {
            /// Returns the index for a position.
            ///
            /// # Panics
            ///
            /// If the position does not fit in 32 bits.
            pub const fn new(position: usize) -> Self {
                assert!(position <= u32::MAX as usize, "position of an index exceeds 32 bits");
                $name(position as u32)
            }

            /// Returns the position for this index.
            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl Index for $name {
            fn from_position(position: usize) -> Self {
                $name::new(position)
            }

            fn position(self) -> usize {
                self.index()
            }
        }
    };
}

index!(
    /// A session that the front has accepted. The index can be reused for another session when this one is over
    /// and none of its INVITEs is outstanding.
    SessionIx
);
index!(
    /// A signalling server, numbered in the order in which discovery first listed them.
    ServerIx
);
index!(
    /// A called number.
    CalledNumberIx
);
index!(
    /// A service, by its position in the configuration.
    ServiceIx
);
index!(
    /// A tenant, by its position in the configuration.
    TenantIx
);
