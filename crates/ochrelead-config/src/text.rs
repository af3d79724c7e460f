//! The text format, and the place of each field in it.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::path::Path;
use std::sync::LazyLock;

use miette::Diagnostic;
use prost::Message;
use prost_reflect::{DescriptorPool, DynamicMessage};

static SCHEMAS: LazyLock<DescriptorPool> = LazyLock::new(|| {
    let bytes = include_bytes!(concat!(env!("OUT_DIR"), "/schemas.bin"));
    DescriptorPool::decode(bytes.as_slice()).expect("the schemas were compiled by the build")
});

/// One thing that is wrong with a file: where, what, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Complaint {
    pub file: String,
    /// Both counted from 1.
    pub line: usize,
    pub column: usize,
    pub what: String,
}

impl fmt::Display for Complaint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.what)
    }
}

/// A text that is read and checked; collects what is wrong with it.
pub struct Sheet {
    file: String,
    places: BTreeMap<String, (usize, usize)>,
    pub complaints: Vec<Complaint>,
}

impl Sheet {
    /// Reads a text as a message of the schema `name`.
    ///
    /// # Errors
    ///
    /// Where the text is no such message.
    pub fn read<M: Message + Default>(
        file: &str,
        text: &str,
        name: &str,
    ) -> Result<(M, Sheet), Vec<Complaint>> {
        let schema = SCHEMAS
            .get_message_by_name(&format!("ochrelead.settings.{name}"))
            .expect("a schema of this crate");
        let dynamic = DynamicMessage::parse_text_format(schema, text).map_err(|error| {
            let offset = error.labels().and_then(|mut labels| labels.next()).map(|label| label.offset());
            let (line, column) = place(text, offset.unwrap_or(text.len()));
            vec![Complaint { file: file.to_owned(), line, column, what: error.to_string() }]
        })?;
        let message = M::decode(dynamic.encode_to_vec().as_slice()).map_err(|error| {
            vec![Complaint { file: file.to_owned(), line: 1, column: 1, what: error.to_string() }]
        })?;
        Ok((message, Sheet { file: file.to_owned(), places: places(text), complaints: Vec::new() }))
    }

    /// Reads a file as a message of the schema `name`.
    ///
    /// # Errors
    ///
    /// Where the file can't be read, is no UTF-8 text, or no such message.
    pub fn open<M: Message + Default>(path: &Path, name: &str) -> Result<(M, Sheet), Vec<Complaint>> {
        let file = path.display().to_string();
        let complaint = |what: String| vec![Complaint { file: file.clone(), line: 1, column: 1, what }];
        let bytes = fs::read(path).map_err(|error| complaint(format!("cannot be read: {error}")))?;
        let text = String::from_utf8(bytes).map_err(|error| complaint(format!("not UTF-8 text: {error}")))?;
        Sheet::read(&file, &text, name)
    }

    /// Something is wrong at a field, named as `server[1].lines`; a missing one is placed at what holds it.
    pub fn complain(&mut self, path: &str, what: impl Into<String>) {
        let (line, column) = self.place(path);
        self.complaints.push(Complaint { file: self.file.clone(), line, column, what: what.into() });
    }

    /// Where a field stands, as `file:line:column`.
    pub fn whereabouts(&self, path: &str) -> String {
        let (line, column) = self.place(path);
        format!("{}:{line}:{column}", self.file)
    }

    /// The place of a field, or of what would hold it.
    fn place(&self, path: &str) -> (usize, usize) {
        // A single field and the first of several are the same place.
        let path = path.replace("[0]", "");
        let mut at = path.as_str();
        loop {
            if let Some(place) = self.places.get(at) {
                return *place;
            }
            match at.rfind('.') {
                Some(end) => at = &at[..end],
                None => return (1, 1),
            }
        }
    }

    /// The value of a field that must be there.
    pub fn need<T: Default>(&mut self, path: &str, value: Option<T>) -> T {
        value.unwrap_or_else(|| {
            let name = path.rsplit('.').next().unwrap_or(path);
            self.complain(path, format!("{name} is missing"));
            T::default()
        })
    }

    /// A figure that must lie between two others.
    pub fn between(&mut self, path: &str, figure: f64, least: f64, most: f64) -> f64 {
        if figure >= least && figure <= most {
            return figure;
        }
        let name = path.rsplit('.').next().unwrap_or(path);
        self.complain(path, format!("{name} is {figure}; it must be from {least} to {most}"));
        least
    }

    /// Whether nothing stands behind a field.
    pub fn ends_with(&self, path: &str) -> bool {
        let last = self.places.values().max();
        last.is_some() && self.places.get(path) == last
    }

    /// The checked figures, unless something was wrong.
    ///
    /// # Errors
    ///
    /// All complaints so far.
    pub fn finish<T>(self, checked: T) -> Result<T, Vec<Complaint>> {
        if self.complaints.is_empty() { Ok(checked) } else { Err(self.complaints) }
    }
}

fn place(text: &str, offset: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..offset.min(text.len())];
    let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
    let column = before.iter().rev().take_while(|byte| **byte != b'\n').count() + 1;
    (line, column)
}

/// Where each field stands. The text has been read before: here only names, braces and values matter.
fn places(text: &str) -> BTreeMap<String, (usize, usize)> {
    let mut places = BTreeMap::new();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    let mut path: Vec<String> = Vec::new();
    let mut open: Option<String> = None;
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'#' => at += bytes[at..].iter().position(|byte| *byte == b'\n').unwrap_or(bytes.len() - at),
            quote @ (b'"' | b'\'') => {
                at += 1;
                while at < bytes.len() && bytes[at] != quote {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
                open = None;
            }
            b'{' | b'<' => {
                path.extend(open.take());
                at += 1;
            }
            b'}' | b'>' => {
                path.pop();
                at += 1;
            }
            byte if byte.is_ascii_alphabetic() || byte == b'_' => {
                let end =
                    at + bytes[at..].iter().take_while(|b| b.is_ascii_alphanumeric() || **b == b'_').count();
                let next = bytes[end..].iter().find(|byte| !byte.is_ascii_whitespace());
                if matches!(next, Some(b':' | b'{' | b'<')) {
                    let name =
                        path.iter().chain([&text[at..end].to_owned()]).cloned().collect::<Vec<_>>().join(".");
                    let count = counts.entry(name.clone()).or_insert(0);
                    let nth = if *count == 0 { name.clone() } else { format!("{name}[{count}]") };
                    *count += 1;
                    places.insert(nth.clone(), place(text, at));
                    open = nth.rsplit('.').next().map(str::to_owned);
                    at = end;
                    if matches!(next, Some(b':')) {
                        at += bytes[end..].iter().position(|byte| *byte == b':').unwrap_or(0);
                    }
                } else {
                    at = end;
                }
            }
            _ => at += 1,
        }
    }
    places
}

/// A message of the schema `name` as text.
pub fn written<M: Message>(message: &M, name: &str) -> String {
    let schema =
        SCHEMAS.get_message_by_name(&format!("ochrelead.settings.{name}")).expect("a schema of this crate");
    let dynamic = DynamicMessage::decode(schema, message.encode_to_vec().as_slice());
    dynamic.expect("a message of that schema").to_text_format()
}
