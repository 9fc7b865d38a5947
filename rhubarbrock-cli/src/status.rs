//! `rhubarbrock status`: prints the status that each node reports.

use argh::FromArgs;
use rhubarbrock_schema::observe;

use crate::exit::{self, Exit};
use crate::http::Client;
use crate::settings;

/// show each node's release version in force, load, endpoints and troubles. Exit codes: 0 all
/// nodes answered, 2 wrong command line, 4 a node was not reached
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// base URL of a node, such as http://127.0.0.1:7101 (RHUBARBROCK_NODES, separated by commas);
    /// may be repeated
    #[argh(option)]
    node: Vec<String>,
    /// print JSON, one line per node
    #[argh(switch)]
    json: bool,
}

impl Status {
    pub(crate) async fn run(self) -> Exit {
        let nodes = match settings::nodes(&self.node) {
            Ok(nodes) => nodes,
            Err(message) => return exit::usage(message),
        };
        let client = Client::new();
        let mut exit = Exit::Done;
        let mut answered = Vec::new();
        for node in &nodes {
            let url = format!("{node}/v1/status");
            match client.get_json::<observe::NodeStatus>(&url).await {
                Ok(status) => answered.push(status),
                Err(error) => exit = exit::unreachable(error),
            }
        }
        if self.json {
            print_json(&answered);
        } else {
            print_table(&answered);
        }
        exit
    }
}

fn print_json(nodes: &[observe::NodeStatus]) {
    for node in nodes {
        println!("{}", serde_json::to_string(node).expect("statuses always serialize to JSON"));
    }
}

fn print_table(nodes: &[observe::NodeStatus]) {
    let header = ["node", "data centre", "version", "held", "kept", "waiting", "peers", "state"];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for node in nodes {
        rows.push(vec![
            node.name.clone(),
            node.data_centre.clone(),
            node.release_version.to_string(),
            node.held.to_string(),
            node.kept.to_string(),
            node.waiting.to_string(),
            node.peers_alive.to_string(),
            if node.leaving { "leaving" } else { "live" }.to_owned(),
        ]);
    }
    print_rows(&rows);
    for node in nodes {
        print_details(node);
    }
}

fn print_details(node: &observe::NodeStatus) {
    println!("\n{}: version {} \"{}\"", node.name, node.release_version, node.release_title);
    for trouble in &node.troubles {
        let since_s = trouble.since_ms / 1_000;
        println!("  trouble {} for {since_s} s: {}", trouble.name, trouble.action);
    }
    if node.endpoints.is_empty() {
        return;
    }
    let header = ["  endpoint", "service", "data centre", "address", "state", "in flight", "load"];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for endpoint in &node.endpoints {
        rows.push(vec![
            format!("  {}", endpoint.endpoint),
            endpoint.service.clone(),
            endpoint.data_centre.clone(),
            endpoint.address.clone(),
            endpoint.state.clone(),
            endpoint.in_flight.to_string(),
            endpoint.load.to_string(),
        ]);
    }
    print_rows(&rows);
}

/// Prints rows with columns padded to the widest cell.
fn print_rows(rows: &[Vec<String>]) {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max();
    let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:width$}")).collect();
        println!("{}", cells.join("  ").trim_end());
    }
}
