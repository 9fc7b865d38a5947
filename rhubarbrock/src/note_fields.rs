//! Reads the fields of the tables of a release note and collects all faults.

use std::collections::{BTreeMap, BTreeSet};

use rhubarbrock_schema::{release as schema, words};
use serde::de::{IntoDeserializer, value};
use toml::Spanned;
use toml::de::{DeInteger, DeTable, DeValue};

use crate::note::Fault;

/// State of parsing one note.
pub(crate) struct ParseState<'t> {
    text: &'t str,
    /// Faults found so far.
    pub(crate) faults: Vec<Fault>,
    /// Line of each field that was found, by its path.
    pub(crate) lines: BTreeMap<String, u32>,
}

impl<'t> ParseState<'t> {
    pub(crate) fn new(text: &'t str) -> ParseState<'t> {
        ParseState { text, faults: Vec::new(), lines: BTreeMap::new() }
    }

    /// Line of the byte at an offset in the text, counted from 1.
    pub(crate) fn line(&self, byte_offset: usize) -> u32 {
        let before = &self.text.as_bytes()[..byte_offset.min(self.text.len())];
        1 + before.iter().filter(|&&byte| byte == b'\n').count() as u32
    }

    pub(crate) fn fault(&mut self, field: String, line: u32, message: String) {
        self.faults.push(Fault { field, line: Some(line), message });
    }
}

/// Reader of the fields of one table.
pub(crate) struct Fields<'r, 't, 'd> {
    state: &'r mut ParseState<'t>,
    table: &'d DeTable<'d>,
    path: String,
    /// Names of the fields that the schema has, gathered as they are read.
    known: BTreeSet<&'static str>,
}

/// Function that reads a message from the fields of a table.
pub(crate) type ReadTable<T> = fn(&mut Fields<'_, '_, '_>) -> T;

impl<'r, 't, 'd> Fields<'r, 't, 'd> {
    pub(crate) fn new(
        state: &'r mut ParseState<'t>,
        table: &'d DeTable<'d>,
        path: String,
    ) -> Fields<'r, 't, 'd> {
        Fields { state, table, path, known: BTreeSet::new() }
    }

    /// Sets `target` to the string in field `name`, if present.
    pub(crate) fn string(&mut self, name: &'static str, target: &mut String) {
        let Some(value) = self.take_value(name) else { return };
        match value.get_ref() {
            DeValue::String(text) => *target = text.to_string(),
            other => self.wrong_type(name, value, other, "a string"),
        }
    }

    /// Sets `target` to the integer in field `name`, if present.
    pub(crate) fn number(&mut self, name: &'static str, target: &mut u32) {
        let Some(value) = self.take_value(name) else { return };
        match value.get_ref() {
            DeValue::Integer(integer) => match parse_number(integer) {
                Some(number) => *target = number,
                None => {
                    let message = format!("must be an integer from 0 to {}", u32::MAX);
                    self.fault_at(name, value, message);
                }
            },
            other => self.wrong_type(name, value, other, "an integer"),
        }
    }

    /// Sets `target` to the boolean in field `name`, if present.
    pub(crate) fn flag(&mut self, name: &'static str, target: &mut bool) {
        let Some(value) = self.take_value(name) else { return };
        match value.get_ref() {
            DeValue::Boolean(flag) => *target = *flag,
            other => self.wrong_type(name, value, other, "true or false"),
        }
    }

    /// Sets `target` to the service kind in field `name`, if present.
    pub(crate) fn service_kind(&mut self, name: &'static str, target: &mut i32) {
        self.enum_value(name, target, parse_kind);
    }

    /// Sets `target` to the objective in field `name`, if present.
    pub(crate) fn objective(&mut self, name: &'static str, target: &mut i32) {
        self.enum_value(name, target, parse_objective);
    }

    /// Sets `target` to the strings in field `name`, if present.
    pub(crate) fn strings(&mut self, name: &'static str, target: &mut Vec<String>) {
        let Some(value) = self.take_value(name) else { return };
        let DeValue::Array(items) = value.get_ref() else {
            self.wrong_type(name, value, value.get_ref(), "an array of strings");
            return;
        };
        target.clear();
        for (index, item) in items.iter().enumerate() {
            let path = self.add_item_line(&format!("{name}[{index}]"), item);
            match item.get_ref() {
                DeValue::String(text) => target.push(text.to_string()),
                other => self.wrong_type_at(path, item, other, "a string"),
            }
        }
    }

    /// Reads the array of tables in field `name`; empty if absent.
    pub(crate) fn tables<T>(&mut self, name: &'static str, read: ReadTable<T>) -> Vec<T> {
        let Some(value) = self.take_value(name) else { return Vec::new() };
        let DeValue::Array(items) = value.get_ref() else {
            self.wrong_type(name, value, value.get_ref(), "an array of tables");
            return Vec::new();
        };
        let mut messages = Vec::new();
        for (index, item) in items.iter().enumerate() {
            let path = self.add_item_line(&format!("{name}[{index}]"), item);
            messages.extend(self.read_table(path, item, read));
        }
        messages
    }

    /// Reads the table in field `name`; `None` if absent or not a table.
    pub(crate) fn table<T>(&mut self, name: &'static str, read: ReadTable<T>) -> Option<T> {
        let value = self.take_value(name)?;
        let path = self.path_of(name);
        self.read_table(path, value, read)
    }

    fn read_table<T>(
        &mut self,
        path: String,
        value: &'d Spanned<DeValue<'d>>,
        read: ReadTable<T>,
    ) -> Option<T> {
        let DeValue::Table(table) = value.get_ref() else {
            self.wrong_type_at(path, value, value.get_ref(), "a table");
            return None;
        };
        let mut fields = Fields::new(self.state, table, path);
        let message = read(&mut fields);
        fields.report_unknown();
        Some(message)
    }

    /// Adds a fault for each field of the table that was not read.
    pub(crate) fn report_unknown(&mut self) {
        for key in self.table.keys() {
            let name = key.get_ref().as_ref();
            if self.known.contains(name) {
                continue;
            }
            let known: Vec<&str> = self.known.iter().copied().collect();
            let message = format!("is unknown; known fields are {}", known.join(", "));
            let line = self.state.line(key.span().start);
            let path = self.path_of(name);
            self.state.fault(path, line, message);
        }
    }

    fn enum_value(
        &mut self,
        name: &'static str,
        target: &mut i32,
        parse: fn(&str) -> Result<i32, value::Error>,
    ) {
        let mut word = String::new();
        self.string(name, &mut word);
        if word.is_empty() {
            return;
        }
        match parse(&word) {
            Ok(number) => *target = number,
            Err(error) => {
                let value = &self.table[name];
                self.fault_at(name, value, error.to_string());
            }
        }
    }

    /// Value of field `name`, if present. Marks the name as known and stores the line.
    fn take_value(&mut self, name: &'static str) -> Option<&'d Spanned<DeValue<'d>>> {
        self.known.insert(name);
        let (key, value) = self.table.get_key_value(name)?;
        let line = self.state.line(key.span().start);
        let path = self.path_of(name);
        self.state.lines.insert(path, line);
        Some(value)
    }

    /// Stores the line of an array item and returns its path.
    fn add_item_line(&mut self, name: &str, item: &Spanned<DeValue<'_>>) -> String {
        let path = self.path_of(name);
        let line = self.state.line(item.span().start);
        self.state.lines.insert(path.clone(), line);
        path
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    fn fault_at(&mut self, name: &str, value: &Spanned<DeValue<'_>>, message: String) {
        let line = self.state.line(value.span().start);
        let path = self.path_of(name);
        self.state.fault(path, line, message);
    }

    fn wrong_type(
        &mut self,
        name: &str,
        value: &Spanned<DeValue<'_>>,
        found: &DeValue<'_>,
        expected: &str,
    ) {
        self.wrong_type_at(self.path_of(name), value, found, expected);
    }

    fn wrong_type_at(
        &mut self,
        path: String,
        value: &Spanned<DeValue<'_>>,
        found: &DeValue<'_>,
        expected: &str,
    ) {
        let line = self.state.line(value.span().start);
        let message = format!("must be {expected}, not {}", found.type_str());
        self.state.fault(path, line, message);
    }
}

fn parse_number(integer: &DeInteger<'_>) -> Option<u32> {
    u32::from_str_radix(integer.as_str(), integer.radix()).ok()
}

fn parse_kind(word: &str) -> Result<i32, value::Error> {
    words::service_kind::deserialize(word.into_deserializer())
}

fn parse_objective(word: &str) -> Result<i32, value::Error> {
    words::objective::deserialize(word.into_deserializer())
}

/// Kind of the service that these fields describe; unspecified if missing or invalid. Needed before
/// the other fields, as their defaults depend on it.
pub(crate) fn peek_kind(fields: &Fields<'_, '_, '_>) -> schema::ServiceKind {
    let word = fields.table.get("kind").and_then(|value| value.get_ref().as_str());
    let number = word.and_then(|word| parse_kind(word).ok()).unwrap_or_default();
    schema::ServiceKind::try_from(number).unwrap_or_default()
}
