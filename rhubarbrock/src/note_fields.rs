//! Reads the fields of one table of a release note and collects every fault.

use std::collections::{BTreeMap, BTreeSet};

use rhubarbrock_schema::{release as schema, words};
use serde::de::{IntoDeserializer, value};
use toml::Spanned;
use toml::de::{DeInteger, DeTable, DeValue};

use crate::note::Fault;

/// What is gathered while a note is read.
pub(crate) struct Reading<'t> {
    text: &'t str,
    /// Faults so far.
    pub(crate) faults: Vec<Fault>,
    /// Line of each field that was met.
    pub(crate) lines: BTreeMap<String, u32>,
}

impl<'t> Reading<'t> {
    pub(crate) fn new(text: &'t str) -> Reading<'t> {
        Reading { text, faults: Vec::new(), lines: BTreeMap::new() }
    }

    /// Line, from 1, of a byte of the text.
    pub(crate) fn line(&self, byte: usize) -> u32 {
        let before = &self.text.as_bytes()[..byte.min(self.text.len())];
        1 + before.iter().filter(|&&byte| byte == b'\n').count() as u32
    }

    /// Adds a fault.
    pub(crate) fn fault(&mut self, field: String, line: u32, message: String) {
        self.faults.push(Fault { field, line: Some(line), message });
    }
}

/// The fields of one table.
pub(crate) struct Fields<'r, 't, 'd> {
    reading: &'r mut Reading<'t>,
    table: &'d DeTable<'d>,
    path: String,
    known: BTreeSet<&'static str>,
}

/// A message that is read from a table.
pub(crate) type ReadTable<T> = fn(&mut Fields<'_, '_, '_>) -> T;

impl<'r, 't, 'd> Fields<'r, 't, 'd> {
    pub(crate) fn new(
        reading: &'r mut Reading<'t>,
        table: &'d DeTable<'d>,
        path: String,
    ) -> Fields<'r, 't, 'd> {
        Fields { reading, table, path, known: BTreeSet::new() }
    }

    /// Sets `target` to the text of field `name` where it is present.
    pub(crate) fn string(&mut self, name: &'static str, target: &mut String) {
        let Some(value) = self.take(name) else { return };
        match value.get_ref() {
            DeValue::String(text) => *target = text.to_string(),
            other => self.wrong_type(name, value, other, "a text"),
        }
    }

    /// Sets `target` to the whole number of field `name` where it is present.
    pub(crate) fn number(&mut self, name: &'static str, target: &mut u32) {
        let Some(value) = self.take(name) else { return };
        match value.get_ref() {
            DeValue::Integer(integer) => match parse_number(integer) {
                Some(number) => *target = number,
                None => {
                    let message = format!("must be a whole number from 0 to {}", u32::MAX);
                    self.fault_at(name, value, message);
                }
            },
            other => self.wrong_type(name, value, other, "a whole number"),
        }
    }

    /// Sets `target` to the truth value of field `name` where it is present.
    pub(crate) fn flag(&mut self, name: &'static str, target: &mut bool) {
        let Some(value) = self.take(name) else { return };
        match value.get_ref() {
            DeValue::Boolean(flag) => *target = *flag,
            other => self.wrong_type(name, value, other, "true or false"),
        }
    }

    /// Sets `target` to the kind named by field `name` where it is present.
    pub(crate) fn service_kind(&mut self, name: &'static str, target: &mut i32) {
        self.word(name, target, parse_kind);
    }

    /// Sets `target` to the objective named by field `name` where it is present.
    pub(crate) fn objective(&mut self, name: &'static str, target: &mut i32) {
        self.word(name, target, parse_objective);
    }

    /// Sets `target` to the texts of field `name` where it is present.
    pub(crate) fn strings(&mut self, name: &'static str, target: &mut Vec<String>) {
        let Some(value) = self.take(name) else { return };
        let DeValue::Array(items) = value.get_ref() else {
            self.wrong_type(name, value, value.get_ref(), "a list of texts");
            return;
        };
        target.clear();
        for (index, item) in items.iter().enumerate() {
            let path = self.enter(&format!("{name}[{index}]"), item);
            match item.get_ref() {
                DeValue::String(text) => target.push(text.to_string()),
                other => self.wrong_type_at(path, item, other, "a text"),
            }
        }
    }

    /// The messages of the list of tables `name`; none where it is absent.
    pub(crate) fn tables<T>(&mut self, name: &'static str, read: ReadTable<T>) -> Vec<T> {
        let Some(value) = self.take(name) else { return Vec::new() };
        let DeValue::Array(items) = value.get_ref() else {
            self.wrong_type(name, value, value.get_ref(), "a list of tables");
            return Vec::new();
        };
        let mut messages = Vec::new();
        for (index, item) in items.iter().enumerate() {
            let path = self.enter(&format!("{name}[{index}]"), item);
            messages.extend(self.read_table(path, item, read));
        }
        messages
    }

    /// The message of table `name` where it is present.
    pub(crate) fn table<T>(&mut self, name: &'static str, read: ReadTable<T>) -> Option<T> {
        let value = self.take(name)?;
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
        let mut fields = Fields::new(self.reading, table, path);
        let message = read(&mut fields);
        fields.refuse_unknown();
        Some(message)
    }

    /// Adds a fault for each field that no reader asked for.
    pub(crate) fn refuse_unknown(&mut self) {
        for key in self.table.keys() {
            let name = key.get_ref().as_ref();
            if self.known.contains(name) {
                continue;
            }
            let known: Vec<&str> = self.known.iter().copied().collect();
            let message = format!("is unknown here; known are {}", known.join(", "));
            let line = self.reading.line(key.span().start);
            let path = self.path_of(name);
            self.reading.fault(path, line, message);
        }
    }

    fn word(
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

    /// The value of field `name`, which is noted as known and met.
    fn take(&mut self, name: &'static str) -> Option<&'d Spanned<DeValue<'d>>> {
        self.known.insert(name);
        let (key, value) = self.table.get_key_value(name)?;
        let line = self.reading.line(key.span().start);
        let path = self.path_of(name);
        self.reading.lines.insert(path, line);
        Some(value)
    }

    /// Notes the line of an item of a list and gives its path.
    fn enter(&mut self, name: &str, item: &Spanned<DeValue<'_>>) -> String {
        let path = self.path_of(name);
        let line = self.reading.line(item.span().start);
        self.reading.lines.insert(path.clone(), line);
        path
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    fn fault_at(&mut self, name: &str, value: &Spanned<DeValue<'_>>, message: String) {
        let line = self.reading.line(value.span().start);
        let path = self.path_of(name);
        self.reading.fault(path, line, message);
    }

    fn wrong_type(
        &mut self,
        name: &str,
        value: &Spanned<DeValue<'_>>,
        found: &DeValue<'_>,
        wanted: &str,
    ) {
        self.wrong_type_at(self.path_of(name), value, found, wanted);
    }

    fn wrong_type_at(
        &mut self,
        path: String,
        value: &Spanned<DeValue<'_>>,
        found: &DeValue<'_>,
        wanted: &str,
    ) {
        let line = self.reading.line(value.span().start);
        let message = format!("must be {wanted}, not {}", found.type_str());
        self.reading.fault(path, line, message);
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

/// Kind of the service whose fields these are, unspecified where it is missing or wrong.
pub(crate) fn peek_kind(fields: &Fields<'_, '_, '_>) -> schema::ServiceKind {
    let word = fields.table.get("kind").and_then(|value| value.get_ref().as_str());
    let number = word.and_then(|word| parse_kind(word).ok()).unwrap_or_default();
    schema::ServiceKind::try_from(number).unwrap_or_default()
}
