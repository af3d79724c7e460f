//! Dense indices that stand for the host's identifiers, a type for each kind so that they are not mixed up.

/// An index into a table of one kind of item.
pub(crate) trait Index: Copy {
    /// The index of the item at this position.
    fn from_position(position: usize) -> Self;

    /// The position of the item.
    fn position(self) -> usize;
}

macro_rules! index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(u32);

        impl $name {
            /// The index for this position.
            ///
            /// # Panics
            ///
            /// Where the position does not fit in 32 bits.
            pub const fn new(index: usize) -> Self {
                assert!(index <= u32::MAX as usize, "an index has 32 bits");
                $name(index as u32)
            }

            /// The position that the index stands for.
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
    /// A session that the front has accepted. The index is free for another session once this one is over and
    /// none of its INVITEs is outstanding.
    SessionIx
);
index!(
    /// A signalling server, counted in the order in which the front first learned of it.
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
