//! Small indices that stand for the host's ids; they cannot be mixed up.

macro_rules! index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(u32);

        impl $name {
            pub const fn new(index: usize) -> Self {
                $name(index as u32)
            }

            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

index!(
    /// A session that the front has taken; free for another once it is over and no INVITE is out.
    SessionIx
);
index!(
    /// A signalling server, counted in the order in which the front first heard of it.
    ServerIx
);
index!(
    /// A called number.
    CalledNumberIx
);
index!(
    /// A service, as in the configuration.
    ServiceIx
);
index!(
    /// A tenant, as in the configuration.
    TenantIx
);
