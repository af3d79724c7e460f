//! Where each field of a text is.

use std::collections::BTreeMap;

/// A place in a text. Line and column, in bytes, are counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    pub(crate) line: usize,
    pub(crate) column: usize,
}

impl Position {
    pub(crate) const START: Position = Position { line: 1, column: 1 };

    /// The place of a byte.
    pub(crate) fn of_offset(text: &str, offset: usize) -> Position {
        let before = &text.as_bytes()[..offset.min(text.len())];
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let column = before.iter().rev().take_while(|byte| **byte != b'\n').count() + 1;
        Position { line, column }
    }
}

/// The places of all fields by their path. The first of several fields of a name has no index in it.
pub(crate) struct FieldPositions(BTreeMap<String, Position>);

impl FieldPositions {
    /// Finds the fields in a text that has been parsed before: here only names, braces and values matter.
    pub(crate) fn scan(text: &str) -> FieldPositions {
        let mut scanner = Scanner::new(text);
        while scanner.offset < text.len() {
            scanner.step();
        }
        FieldPositions(scanner.positions)
    }

    /// The place of a field, or of what would hold it.
    pub(crate) fn find(&self, path: &str) -> Position {
        // A single field and the first of several are the same place.
        let path = path.replace("[0]", "");
        let mut path = path.as_str();
        loop {
            if let Some(position) = self.0.get(path) {
                return *position;
            }
            match path.rfind('.') {
                Some(end) => path = &path[..end],
                None => return Position::START,
            }
        }
    }

    /// Whether a field is there and none begins after it.
    pub(crate) fn is_last(&self, path: &str) -> bool {
        let last = self.0.values().max();
        last.is_some() && self.0.get(path) == last
    }
}

struct Scanner<'a> {
    text: &'a str,
    offset: usize,
    /// The names, with their index, of the messages around.
    enclosing: Vec<String>,
    /// The name, with its index, of the field whose value comes next.
    pending: Option<String>,
    /// How often each path has occurred.
    occurrences: BTreeMap<String, usize>,
    positions: BTreeMap<String, Position>,
}

impl<'a> Scanner<'a> {
    fn new(text: &'a str) -> Scanner<'a> {
        Scanner {
            text,
            offset: 0,
            enclosing: Vec::new(),
            pending: None,
            occurrences: BTreeMap::new(),
            positions: BTreeMap::new(),
        }
    }

    fn rest(&self) -> &'a [u8] {
        &self.text.as_bytes()[self.offset..]
    }

    /// Passes over one token.
    fn step(&mut self) {
        match self.rest()[0] {
            b'#' => self.skip_comment(),
            quote @ (b'"' | b'\'') => self.skip_string(quote),
            b'{' | b'<' => {
                self.enclosing.extend(self.pending.take());
                self.offset += 1;
            }
            b'}' | b'>' => {
                self.enclosing.pop();
                self.offset += 1;
            }
            byte if byte.is_ascii_alphabetic() || byte == b'_' => self.scan_word(),
            _ => self.offset += 1,
        }
    }

    fn skip_comment(&mut self) {
        let rest = self.rest();
        self.offset += rest.iter().position(|byte| *byte == b'\n').unwrap_or(rest.len());
    }

    fn skip_string(&mut self, quote: u8) {
        let bytes = self.text.as_bytes();
        self.offset += 1;
        while self.offset < bytes.len() && bytes[self.offset] != quote {
            self.offset += if bytes[self.offset] == b'\\' { 2 } else { 1 };
        }
        self.offset += 1;
        self.pending = None;
    }

    /// A word is the name of a field where a colon or a message follows; otherwise it is a value.
    fn scan_word(&mut self) {
        let rest = self.rest();
        let length = rest.iter().take_while(|byte| byte.is_ascii_alphanumeric() || **byte == b'_').count();
        let after = &rest[length..];
        let next = after.iter().position(|byte| !byte.is_ascii_whitespace());
        let Some(next) = next.filter(|next| matches!(after[*next], b':' | b'{' | b'<')) else {
            self.offset += length;
            return;
        };
        self.add_field(length);
        self.offset += length;
        if after[next] == b':' {
            self.offset += next;
        }
    }

    /// Notes the field whose name, of that length, begins here.
    fn add_field(&mut self, length: usize) {
        let name = &self.text[self.offset..self.offset + length];
        let around = self.enclosing.iter().map(String::as_str);
        let path = around.chain([name]).collect::<Vec<_>>().join(".");
        let count = self.occurrences.entry(path.clone()).or_insert(0);
        let indexed = if *count == 0 { path } else { format!("{path}[{count}]") };
        *count += 1;
        self.pending = indexed.rsplit('.').next().map(str::to_owned);
        self.positions.insert(indexed, Position::of_offset(self.text, self.offset));
    }
}
