//! Parses release notes, which operators write in TOML.
//!
//! ```
//! use rhubarbrock::note;
//!
//! let faults = note::parse("title = \"a\"\nspeed = 3\n[policy]\n").unwrap_err();
//! assert_eq!(faults[0].field, "speed");
//! assert_eq!(faults[0].line, Some(2));
//! ```

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use rhubarbrock_schema::release as schema;
use toml::de::DeTable;

use crate::defaults;
use crate::note_fields::{Fields, ParseState, peek_kind};
use crate::validation;

/// Maximum size of the text of a note, in bytes.
pub const MAX_NOTE_BYTES: usize = 1 << 20;

/// Field name given in faults of TOML syntax or size.
const SYNTAX_FIELD: &str = "syntax";

/// Fault in a release note.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{}{field}: {message}", line.map(|line| format!("{line}: ")).unwrap_or_default())]
pub struct Fault {
    /// Path of the field, such as `added.services[0].timeout_ms`.
    pub field: String,
    /// Line in the text, counted from 1; `None` if the note was not parsed from a text.
    pub line: Option<u32>,
    /// Description of the fault, worded to follow the field's path.
    pub message: String,
}

/// Note as far as it could be parsed, with its parse faults and the lines of its fields.
#[derive(Debug, Clone)]
pub struct ParsedNote {
    /// The note with default values. Fields that could not be parsed have their defaults.
    pub note: schema::ReleaseNote,
    faults: Vec<Fault>,
    lines: BTreeMap<String, u32>,
}

impl ParsedNote {
    /// Faults of the note that do not depend on the release in force, in order of lines.
    pub fn own_faults(&self) -> Vec<Fault> {
        self.with_parse_faults(validation::validate_alone(&self.note))
    }

    /// All faults of the note as the next one on `base`, in order of lines.
    pub fn faults(&self, base: &schema::Release) -> Vec<Fault> {
        let note = defaults::with_defaults(self.note.clone(), base);
        self.with_parse_faults(validation::validate(&note, base))
    }

    /// Merges parse faults and validation faults. Fields with a parse fault get no validation fault,
    /// and a note with a syntax fault gets none at all.
    fn with_parse_faults(&self, validation_faults: Vec<Fault>) -> Vec<Fault> {
        let has_syntax_fault = self.faults.iter().any(|fault| fault.field == SYNTAX_FIELD);
        if has_syntax_fault {
            return self.faults.clone();
        }
        let mut faults = self.faults.clone();
        for mut fault in validation_faults {
            let has_parse_fault =
                self.faults.iter().any(|parse_fault| parse_fault.field == fault.field);
            if !has_parse_fault {
                fault.line = Some(line_of(&self.lines, &fault.field));
                faults.push(fault);
            }
        }
        sorted(faults)
    }
}

/// Parses a note and checks all rules that do not depend on the release in force.
///
/// # Errors
///
/// Returns all faults, in order of lines.
pub fn parse(text: &str) -> Result<schema::ReleaseNote, Vec<Fault>> {
    let parsed = parse_lenient(text);
    let faults = parsed.own_faults();
    if faults.is_empty() { Ok(parsed.note) } else { Err(faults) }
}

/// Parses a note as far as possible. The result holds the parse faults.
pub fn parse_lenient(text: &str) -> ParsedNote {
    let mut state = ParseState::new(text);
    if text.len() > MAX_NOTE_BYTES {
        let message =
            format!("the note has {} bytes; at most {MAX_NOTE_BYTES} are allowed", text.len());
        state.fault(SYNTAX_FIELD.to_owned(), 1, message);
        return state.finish(schema::ReleaseNote::default());
    }
    let (document, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let line = state.line(error.span().map_or(0, |span| span.start));
        let message = error.message().lines().next().unwrap_or_default().to_owned();
        state.fault(SYNTAX_FIELD.to_owned(), line, message);
    }
    let mut fields = Fields::new(&mut state, document.get_ref(), String::new());
    let note = read_note(&mut fields);
    fields.report_unknown();
    state.finish(note)
}

impl ParseState<'_> {
    fn finish(self, note: schema::ReleaseNote) -> ParsedNote {
        let ParseState { mut faults, lines, .. } = self;
        let has_syntax_fault = faults.iter().any(|fault| fault.field == SYNTAX_FIELD);
        if has_syntax_fault {
            faults.retain(|fault| fault.field == SYNTAX_FIELD);
        }
        ParsedNote { note, faults: sorted(faults), lines }
    }
}

fn sorted(mut faults: Vec<Fault>) -> Vec<Fault> {
    faults.sort_by(|a, b| (a.line, &a.field).cmp(&(b.line, &b.field)));
    faults
}

/// Line of the field, or of the innermost enclosing entry that is in the text.
fn line_of(lines: &BTreeMap<String, u32>, field: &str) -> u32 {
    let mut path = field;
    loop {
        if let Some(&line) = lines.get(path) {
            return line;
        }
        match path.rfind(['.', '[']) {
            Some(end) => path = &path[..end],
            None => return 1,
        }
    }
}

fn read_note(fields: &mut Fields<'_, '_, '_>) -> schema::ReleaseNote {
    let mut title = String::new();
    fields.string("title", &mut title);
    schema::ReleaseNote {
        title,
        added: fields.table("added", read_entries),
        changed: fields.table("changed", read_entries),
        withdrawn: fields.table("withdrawn", read_names),
        policy: fields.table("policy", read_policy),
    }
}

fn read_entries(fields: &mut Fields<'_, '_, '_>) -> schema::Entries {
    schema::Entries {
        organisations: fields.tables("organisations", read_organisation),
        services: fields.tables("services", read_service),
    }
}

fn read_names(fields: &mut Fields<'_, '_, '_>) -> schema::Names {
    let mut names = schema::Names::default();
    fields.strings("organisations", &mut names.organisations);
    fields.strings("services", &mut names.services);
    names
}

fn read_organisation(fields: &mut Fields<'_, '_, '_>) -> schema::Organisation {
    let mut organisation = schema::Organisation::default();
    fields.string("name", &mut organisation.name);
    fields.strings("key_sha256s", &mut organisation.key_sha256s);
    fields.number("max_requests_per_node", &mut organisation.max_requests_per_node);
    organisation
}

fn read_route(fields: &mut Fields<'_, '_, '_>) -> schema::Route {
    let mut route = schema::Route::default();
    fields.string("method", &mut route.method);
    fields.string("path", &mut route.path);
    fields.flag("repeatable", &mut route.repeatable);
    route
}

fn read_service(fields: &mut Fields<'_, '_, '_>) -> schema::Service {
    let mut service = defaults::service(peek_kind(fields));
    fields.string("name", &mut service.name);
    fields.service_kind("kind", &mut service.kind);
    fields.string("model", &mut service.model);
    fields.strings("adapters", &mut service.adapters);
    service.routes = fields.tables("routes", read_route);
    fields.flag("checks_fencing", &mut service.checks_fencing);
    fields.number("min_replicas", &mut service.min_replicas);
    service.max_replicas = service.max_replicas.max(service.min_replicas);
    fields.number("max_replicas", &mut service.max_replicas);
    fields.strings("classes", &mut service.classes);
    fields.number("first_token_target_ms", &mut service.first_token_target_ms);
    fields.number("token_interval_target_ms", &mut service.token_interval_target_ms);
    fields.number("deadline_ms", &mut service.deadline_ms);
    fields.number("timeout_ms", &mut service.timeout_ms);
    fields.number("max_body_bytes", &mut service.max_body_bytes);
    fields.number("max_tokens", &mut service.max_tokens);
    service
}

fn read_policy(fields: &mut Fields<'_, '_, '_>) -> schema::Policy {
    let mut policy = defaults::policy();
    fields.objective("objective", &mut policy.objective);
    fields.number("retry_percent", &mut policy.retry_percent);
    fields.number("idempotency_key_life_s", &mut policy.idempotency_key_life_s);
    fields.number("quarantine_after_crashes", &mut policy.quarantine_after_crashes);
    fields.number("quarantine_s", &mut policy.quarantine_s);
    fields.number("drain_limit_ms", &mut policy.drain_limit_ms);
    fields.number("answer_life_s", &mut policy.answer_life_s);
    fields.number("max_reclaimable_percent", &mut policy.max_reclaimable_percent);
    fields.number("max_queue", &mut policy.max_queue);
    policy
}
