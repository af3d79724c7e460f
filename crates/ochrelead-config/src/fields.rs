//! Checks the fields of one message in a document.

use std::net::SocketAddr;

use crate::document::Document;

/// Checks the fields of one message. The methods take field names relative to that message.
pub(crate) struct Fields<'a> {
    document: &'a mut Document,
    /// The path of the message: empty, or ending with a dot.
    path: String,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(document: &'a mut Document, path: impl Into<String>) -> Fields<'a> {
        Fields { document, path: path.into() }
    }

    /// Returns the fields of a nested message.
    pub(crate) fn message(&mut self, field: &str) -> Fields<'_> {
        let path = format!("{}{field}.", self.path);
        Fields { document: self.document, path }
    }

    /// Returns the fields of one message of a repeated field.
    pub(crate) fn repeated(&mut self, field: &str, index: usize) -> Fields<'_> {
        let path = format!("{}{field}[{index}].", self.path);
        Fields { document: self.document, path }
    }

    /// Records an error in a field, as [`Document::report`] does.
    pub(crate) fn report(&mut self, field: &str, message: impl Into<String>) {
        self.document.report(&format!("{}{field}", self.path), message);
    }

    /// Returns the value of a required field, as [`Document::required`] does.
    pub(crate) fn required<T: Default>(&mut self, field: &str, value: Option<T>) -> T {
        self.document.required(&format!("{}{field}", self.path), value)
    }

    /// Returns a value in a range, as [`Document::in_range`] does.
    pub(crate) fn in_range(&mut self, field: &str, value: f64, min: f64, max: f64) -> f64 {
        self.document.in_range(&format!("{}{field}", self.path), value, min, max)
    }

    /// Parses the address in a required field. If it is missing or invalid, reports that and returns a placeholder.
    pub(crate) fn address(&mut self, field: &str, value: Option<&str>) -> SocketAddr {
        let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
        let Some(value) = value else {
            self.required::<u32>(field, None);
            return placeholder;
        };
        value.parse().unwrap_or_else(|_| {
            self.report(field, format!("{field} is {value:?}; it must be like 127.0.0.1:2727"));
            placeholder
        })
    }
}
