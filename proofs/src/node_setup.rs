//! Node settings, release note, calls and instance entries for the node simulation.

use std::net::SocketAddr;
use std::time::Duration;

use prost::Message;
use rhubarbrock::{event, id, node, prompt};
use rhubarbrock_schema::{log, release};
use sha2::{Digest, Sha256};

use crate::fake_engine::Engine;
use crate::fake_node::{Slot, address};

/// Organisation of all simulated callers.
pub const ORGANISATION: &str = "quabbin";

const API_KEY: &str = "demo-key";
const MODEL_SERVICE: &str = "guide-writers";
const ORDER_SERVICE: &str = "order-desk";

/// SHA-256 digest of the organisation's API key.
pub fn key_sha256() -> event::Sha256 {
    Sha256::digest(API_KEY).into()
}

/// Encoded record of the release note that adds the organisation and both services.
pub fn release_note() -> Vec<u8> {
    let model = release::Service {
        name: MODEL_SERVICE.to_owned(),
        kind: release::ServiceKind::Model.into(),
        model: "guide-writer".to_owned(),
        classes: vec!["small".to_owned()],
        timeout_ms: 300_000,
        ..rhubarbrock::defaults::service(release::ServiceKind::Model)
    };
    let order =
        release::Route { method: "POST".to_owned(), path: "orders".to_owned(), repeatable: false };
    let order_service = release::Service {
        name: ORDER_SERVICE.to_owned(),
        kind: release::ServiceKind::Plain.into(),
        routes: vec![order],
        classes: vec!["small".to_owned()],
        timeout_ms: 5_000,
        ..rhubarbrock::defaults::service(release::ServiceKind::Plain)
    };
    let organisation = release::Organisation {
        name: ORGANISATION.to_owned(),
        key_sha256s: vec![hex::encode(key_sha256())],
        max_requests_per_node: 0,
    };
    let entries = release::Entries {
        organisations: vec![organisation],
        services: vec![model, order_service],
    };
    let note = release::ReleaseNote {
        title: "all".to_owned(),
        added: Some(entries),
        policy: Some(release::Policy { answer_life_s: 200, ..rhubarbrock::defaults::policy() }),
        ..Default::default()
    };
    let published = log::PublishedNote {
        base_version: 0,
        nonce: 1,
        author: "world".to_owned(),
        note: Some(note),
    };
    let body = log::release_record::Body::Published(published);
    log::ReleaseRecord { body: Some(body) }.encode_to_vec()
}

/// Settings of a node process in a slot. `started_at` is Unix time.
pub fn node_config(
    slot: usize,
    instance: id::InstanceId,
    random: u64,
    started_at: Duration,
) -> node::Config {
    let peer_address = address(Slot::port(slot));
    node::Config {
        node: random.max(1),
        name: format!("node-{slot}"),
        data_centre: data_centre(slot % 3),
        region: "new-england".to_owned(),
        instance,
        caller_address: address(1_000 + slot as u16),
        peer_address,
        seeds: Vec::new(),
        probe_interval: Duration::from_secs(1),
        drain_limit: Some(Duration::from_secs(4)),
        started_at,
        random_seed: random,
    }
}

/// Name of the data centre with this index.
pub fn data_centre(index: usize) -> String {
    format!("dc-{index}")
}

/// Body of a chat request, different for each number.
pub fn request_body(number: usize) -> String {
    format!("{{\"messages\":[{{\"role\":\"user\",\"content\":\"tell me of gourd {number}\"}}]}}")
}

/// Caller event with a model request.
pub fn model_call(
    call: event::CallId,
    body: String,
    tokens: u32,
    secret: u128,
) -> event::CallerEvent {
    let prompt = prompt::Prompt::from_text(&body);
    event::CallerEvent::Model(Box::new(event::ModelCall {
        call,
        key_sha256: key_sha256(),
        service: MODEL_SERVICE.to_owned(),
        path: "/v1/chat/completions".to_owned(),
        fingerprint: prompt::fingerprint(MODEL_SERVICE, &body),
        body,
        is_chat: true,
        streamed: true,
        stream_usage: false,
        max_tokens: Some(tokens),
        blocks: prompt.blocks,
        prompt_tokens: prompt.tokens,
        dialogue: prompt.dialogue,
        settled_tokens: 0,
        deadline: None,
        secret,
    }))
}

/// Caller event with an order: a plain call with an idempotency key.
pub fn order_call(call: event::CallId, key: String, secret: u128) -> event::CallerEvent {
    event::CallerEvent::Plain(Box::new(event::PlainCall {
        call,
        key_sha256: key_sha256(),
        service: ORDER_SERVICE.to_owned(),
        method: "POST".to_owned(),
        path: "orders".to_owned(),
        query: String::new(),
        content_type: "application/json".to_owned(),
        body: b"{}".to_vec(),
        request_sha256: Sha256::digest(&key).into(),
        idempotency_key: Some(key),
        is_repetition: false,
        key_created_at: None,
        sequence: None,
        deadline: None,
        secret,
    }))
}

/// Instance list entry of an engine.
pub fn engine_instance(
    engine: &Engine,
    state: event::InstanceState,
    address: SocketAddr,
) -> event::Instance {
    event::Instance {
        id: engine.endpoint,
        kind: event::InstanceKind::Endpoint,
        data_centre: data_centre(engine.data_centre),
        class: "small".to_owned(),
        market: event::Market::Reclaimable,
        state,
        service: MODEL_SERVICE.to_owned(),
        address,
        peer_address: None,
    }
}

/// Instance list entry of the order service.
pub fn order_service_instance(endpoint: id::EndpointId) -> event::Instance {
    event::Instance {
        id: endpoint,
        kind: event::InstanceKind::Endpoint,
        data_centre: data_centre(0),
        class: "small".to_owned(),
        market: event::Market::OnDemand,
        state: event::InstanceState::Live,
        service: ORDER_SERVICE.to_owned(),
        address: address(9_000),
        peer_address: None,
    }
}

/// Instance list entry of a node.
pub fn entry_instance(instance: id::InstanceId, slot: usize) -> event::Instance {
    event::Instance {
        id: instance,
        kind: event::InstanceKind::Entry,
        data_centre: data_centre(slot % 3),
        class: "entry".to_owned(),
        market: event::Market::Reclaimable,
        state: event::InstanceState::Live,
        service: String::new(),
        address: address(1_000 + slot as u16),
        peer_address: Some(address(Slot::port(slot))),
    }
}
