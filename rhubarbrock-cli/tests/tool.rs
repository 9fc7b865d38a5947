//! Runs the `rhubarbrock` binary against a stand-in platform and fake nodes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::Arc;

use rhubarbrock_schema::{observe, release};
use standins::http;
use standins::platform::{Faults, Platform};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Servers that stop when this value is dropped.
struct Servers {
    runtime: tokio::runtime::Runtime,
    stop: watch::Sender<u64>,
}

impl Servers {
    fn new() -> Servers {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(2).enable_all().build().unwrap();
        Servers { runtime, stop: watch::channel(0).0 }
    }

    fn listen(&self) -> (TcpListener, SocketAddr) {
        let listener = self.runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        (listener, address)
    }

    fn platform(&self, faults: Faults) -> String {
        let (listener, address) = self.listen();
        let platform = Platform::new(1, faults, Vec::new());
        self.runtime.spawn(platform.serve(listener, self.stop.subscribe()));
        format!("http://{address}")
    }

    /// Starts a fake node that serves its timeline in pages of two events; returns its base URL.
    fn node(&self, status: observe::NodeStatus, events: Vec<observe::TimelineEvent>) -> String {
        let (listener, address) = self.listen();
        let handler: http::Handler = Arc::new(move |request| {
            let after = http::query_number(request.uri().query(), "after", 0) as usize;
            let answer = if request.uri().path() == "/v1/status" {
                http::json(hyper::StatusCode::OK, &status)
            } else {
                let events: Vec<_> = events.iter().skip(after).take(2).cloned().collect();
                let next = (after + events.len()) as u64;
                let page = observe::TimelinePage { events, next, dropped: 0 };
                http::json(hyper::StatusCode::OK, &page)
            };
            Box::pin(async move { Ok(answer) })
        });
        self.runtime.spawn(http::serve(listener, handler, self.stop.subscribe()));
        format!("http://{address}")
    }
}

fn rhubarbrock(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rhubarbrock"));
    command.args(arguments).env_clear().output().unwrap()
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn example() -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples/gourd.release.toml");
    path.to_str().unwrap().to_owned()
}

/// A release note in a temporary file, which is removed when this value is dropped.
struct NoteFile(PathBuf);

impl NoteFile {
    fn new(name: &str, body: &str) -> NoteFile {
        let name = format!("rhubarbrock-{}-{name}.toml", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, body).unwrap();
        NoteFile(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for NoteFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn publishes_checks_and_shows_release() {
    let servers = Servers::new();
    let platform = servers.platform(Faults::default());
    let example = example();
    let none = rhubarbrock(&["show", "--platform", &platform]);
    assert_eq!(exit_code(&none), 4, "{}", text(&none.stderr));
    let published = rhubarbrock(&["publish", &example, "--platform", &platform]);
    assert_eq!(exit_code(&published), 0, "{}", text(&published.stderr));
    assert!(text(&published.stdout).ends_with("in force as version 1\n"));
    let again = rhubarbrock(&["publish", &example, "--platform", &platform]);
    assert_eq!(exit_code(&again), 1);
    let expected = format!(
        "{example}:7: added.organisations[0].name: \"quabbin-carvers\" is in force already; put it under \"changed\""
    );
    assert_eq!(text(&again.stderr).lines().next().unwrap(), expected);
    let checked = rhubarbrock(&["check", &example, "--platform", &platform]);
    assert_eq!(exit_code(&checked), 1);
    assert_eq!(checked.stderr, again.stderr);
    let shown = rhubarbrock(&["show", "--json", "--platform", &platform]);
    let release: release::Release = serde_json::from_slice(&shown.stdout).unwrap();
    assert_eq!((release.version, release.services.len()), (1, 2));
}

#[test]
fn publish_finds_append_with_lost_answer() {
    let servers = Servers::new();
    let platform = servers.platform(Faults { lose_append_answers: 1, ..Default::default() });
    let published = rhubarbrock(&["publish", &example(), "--platform", &platform]);
    assert_eq!(exit_code(&published), 0, "{}", text(&published.stderr));
    assert!(text(&published.stderr).contains("no answer"));
    let shown = rhubarbrock(&["show", "--platform", &platform]);
    assert!(text(&shown.stdout).starts_with("version 1: first release"));
}

#[test]
fn losing_concurrent_publish_reports_winner() {
    let servers = Servers::new();
    let faults = Faults { append_delay_ms: 800, ..Default::default() };
    let platform = servers.platform(faults);
    assert_eq!(exit_code(&rhubarbrock(&["publish", &example(), "--platform", &platform])), 0);
    let publish = |author: &'static str, max_queue: u32| {
        let body = format!("title = \"by {author}\"\n[policy]\nmax_queue = {max_queue}\n");
        let note = NoteFile::new(author, &body);
        rhubarbrock(&["publish", note.path(), "--platform", &platform, "--author", author])
    };
    let outputs = std::thread::scope(|scope| {
        let first = scope.spawn(|| publish("ana", 1));
        let second = scope.spawn(|| publish("bo", 2));
        [first.join().unwrap(), second.join().unwrap()]
    });
    let (winner, loser, author) =
        if exit_code(&outputs[0]) == 0 { (0, 1, "ana") } else { (1, 0, "bo") };
    assert_eq!((exit_code(&outputs[winner]), exit_code(&outputs[loser])), (0, 3));
    let errors = text(&outputs[loser].stderr);
    assert!(errors.contains(&format!("version 2, \"by {author}\" by {author}")), "{errors}");
}

#[test]
fn distinguishes_unavailable_log_from_unknown_outcome() {
    let servers = Servers::new();
    let down = servers.platform(Faults { log_down: true, ..Default::default() });
    let refused = rhubarbrock(&["publish", &example(), "--platform", &down, "--timeout-s", "1"]);
    assert_eq!(exit_code(&refused), 4);
    assert!(text(&refused.stderr).contains(": not published"), "{}", text(&refused.stderr));
    // The platform answers appends only after the timeout of the command.
    let slow = servers.platform(Faults { append_delay_ms: 60_000, ..Default::default() });
    let unsure = rhubarbrock(&["publish", &example(), "--platform", &slow, "--timeout-s", "1"]);
    assert_eq!(exit_code(&unsure), 4);
    assert!(text(&unsure.stderr).contains(": unknown"), "{}", text(&unsure.stderr));
}

#[test]
fn rejects_invalid_command_lines() {
    for (arguments, expected) in [
        (&["publish", "note.toml", "--speed"] as &[&str], "--speed"),
        (&["show"], "--platform URL or RHUBARBROCK_PLATFORM is missing"),
        (&["show", "--platform", "10.0.0.1:7000"], "must be a URL such as"),
        (&["status"], "--node URL or RHUBARBROCK_NODES is missing"),
        (&["check", "/nowhere.toml"], "/nowhere.toml: cannot be read"),
        (&[], "no command given"),
    ] {
        let output = rhubarbrock(arguments);
        assert_eq!(exit_code(&output), 2, "{arguments:?}");
        assert!(text(&output.stderr).contains(expected), "{}", text(&output.stderr));
    }
    assert_eq!(exit_code(&rhubarbrock(&["--version"])), 0);
    assert_eq!(exit_code(&rhubarbrock(&["--help"])), 0);
}

fn event(node: &str, wall_us: u64, logical: u32, kind: &str) -> observe::TimelineEvent {
    observe::TimelineEvent {
        wall_us,
        logical,
        node: node.to_owned(),
        kind: kind.to_owned(),
        request: format!("r-{kind}"),
        ..Default::default()
    }
}

#[test]
fn shows_status_and_timeline_of_all_nodes() {
    let servers = Servers::new();
    let trouble = observe::Trouble {
        name: "log-unavailable".to_owned(),
        action: "refuses calls that may not be repeated".to_owned(),
        since_ms: 3_000,
    };
    let status = observe::NodeStatus {
        name: "one".to_owned(),
        release_version: 7,
        troubles: vec![trouble],
        ..Default::default()
    };
    let span = observe::TimelineEvent { duration_us: 10, ..event("one", 30, 0, "answered") };
    let events = vec![event("one", 10, 0, "a"), event("one", 20, 1, "c"), span];
    let one = servers.node(status, events);
    let status = observe::NodeStatus { name: "two".to_owned(), ..Default::default() };
    let two = servers.node(status, vec![event("two", 20, 0, "b")]);

    let shown = rhubarbrock(&["status", "--node", &one, "--node", &two]);
    assert_eq!(exit_code(&shown), 0, "{}", text(&shown.stderr));
    let table = text(&shown.stdout);
    assert!(table.contains("trouble log-unavailable for 3 s: refuses calls"), "{table}");

    let nodes = format!("{one},{two},http://127.0.0.1:1");
    let mut command = Command::new(env!("CARGO_BIN_EXE_rhubarbrock"));
    command.args(["timeline", "--last", "3"]).env_clear().env("RHUBARBROCK_NODES", nodes);
    let lines = command.output().unwrap();
    assert_eq!(exit_code(&lines), 4, "an unreachable node sets the exit code");
    let expected = "00:00:00.000020 two          b r-b\n\
                    00:00:00.000020 one          c r-c\n\
                    00:00:00.000030 one          answered after 0.010 ms r-answered\n";
    assert_eq!(text(&lines.stdout), expected);

    let only = rhubarbrock(&["timeline", "--node", &one, "--request", "r-c"]);
    assert_eq!(text(&only.stdout).lines().count(), 1);

    let trace = rhubarbrock(&["timeline", "--node", &one, "--format", "trace"]);
    let trace: serde_json::Value = serde_json::from_slice(&trace.stdout).unwrap();
    let span = trace["traceEvents"].as_array().unwrap().last().unwrap();
    assert_eq!((span["ph"].as_str(), span["ts"].as_u64()), (Some("X"), Some(20)));
    assert_eq!(span["dur"].as_u64(), Some(10));
}
