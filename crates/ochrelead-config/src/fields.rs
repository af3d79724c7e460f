//! The fields of one message within a document.

use std::net::SocketAddr;

use crate::document::Document;

/// Checks the fields of one message, which are named without the path to the message.
pub(crate) struct Fields<'a> {
    document: &'a mut Document,
    /// The path to the message, empty or ending with a dot.
    path: String,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(document: &'a mut Document, path: impl Into<String>) -> Fields<'a> {
        Fields { document, path: path.into() }
    }

    /// The fields of a message that is itself a field.
    pub(crate) fn message(&mut self, field: &str) -> Fields<'_> {
        let path = format!("{}{field}.", self.path);
        Fields { document: self.document, path }
    }

    /// The fields of one of several messages of the same name.
    pub(crate) fn repeated(&mut self, field: &str, index: usize) -> Fields<'_> {
        let path = format!("{}{field}[{index}].", self.path);
        Fields { document: self.document, path }
    }

    /// Something is wrong with a field.
    pub(crate) fn report(&mut self, field: &str, message: impl Into<String>) {
        self.document.report(&format!("{}{field}", self.path), message);
    }

    /// The value of a field that must be there.
    pub(crate) fn required<T: Default>(&mut self, field: &str, value: Option<T>) -> T {
        self.document.required(&format!("{}{field}", self.path), value)
    }

    /// A value that must lie between two others; the lower one where it does not.
    pub(crate) fn in_range(&mut self, field: &str, value: f64, min: f64, max: f64) -> f64 {
        self.document.in_range(&format!("{}{field}", self.path), value, min, max)
    }

    /// The address in a field that must be there; an unusable one where it is missing or wrong.
    pub(crate) fn address(&mut self, field: &str, value: Option<&str>) -> SocketAddr {
        let unusable = SocketAddr::from(([127, 0, 0, 1], 0));
        let Some(value) = value else {
            self.required::<u32>(field, None);
            return unusable;
        };
        value.parse().unwrap_or_else(|_| {
            self.report(field, format!("{value:?} is no address; it must be like 127.0.0.1:2727"));
            unusable
        })
    }
}
