//! Memory and descriptors of a gateway process while clients send what no caller of the platform
//! would. No check depends on the speed of the machine.

mod child;
mod crowd;

use std::iter;

use crowd::{CROWD, Gateway, chunk, head};
use platform_standins::replica::Mode;

/// Memory of the machine in the test of the smallest chunks, in MB. A debug build takes them too slowly
/// to fill more within the crowd's time.
const LITTLE_MEMORY_MB: u64 = 32;

/// Longest legal body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Length of the pieces in which bodies are sent.
const PIECE_BYTES: usize = 16 * 1024;

/// One in this many connections sends its body whole; the others stop short of the end.
const WHOLE: usize = 10;

const CHUNKED: &str = "Transfer-Encoding: chunked";

fn is_whole(number: usize) -> bool {
    number.is_multiple_of(WHOLE)
}

/// Head and body of the announced length, in pieces; all but one in ten end one byte short.
fn announced_body(number: usize, piece_bytes: usize) -> impl Iterator<Item = Vec<u8>> {
    let start = head("/order/1", number, &format!("Content-Length: {MAX_BODY_BYTES}"));
    let body_bytes = MAX_BODY_BYTES - usize::from(!is_whole(number));
    let pieces = (0..body_bytes).step_by(piece_bytes);
    iter::once(start).chain(pieces.map(move |from| vec![b'x'; piece_bytes.min(body_bytes - from)]))
}

/// Head and chunks; all but one in ten lack the last chunk.
fn chunked_body(number: usize, chunks: usize, chunk: Vec<u8>) -> impl Iterator<Item = Vec<u8>> {
    let end = if is_whole(number) { b"0\r\n\r\n".to_vec() } else { Vec::new() };
    iter::once(head("/order/1", number, CHUNKED))
        .chain(iter::repeat_n(chunk, chunks))
        .chain(iter::once(end))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn longest_body_is_served_in_calm() {
    let gateway = Gateway::start(1).await;
    let framing = format!("Connection: close\r\nContent-Length: {MAX_BODY_BYTES}");
    let mut request = head("/order/1", 0, &framing);
    request.resize(request.len() + MAX_BODY_BYTES, b'x');
    let answer = crowd::call(gateway.callers, &request).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// A client in a trial of the operators' ended a process in this way, and in the next five.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withstands_long_bodies() {
    let mut gateway = Gateway::start(2).await;
    gateway.withstand(CROWD, |number| announced_body(number, MAX_BODY_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withstands_long_bodies_piece_by_piece() {
    let mut gateway = Gateway::start(3).await;
    gateway.withstand(CROWD, |number| announced_body(number, PIECE_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withstands_large_chunks() {
    let mut gateway = Gateway::start(4).await;
    let data = vec![b'x'; 64 * 1024];
    let pieces = |number| chunked_body(number, 63, chunk(&data, ""));
    gateway.withstand(CROWD, pieces).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withstands_chunks_of_one_byte() {
    let mut gateway = Gateway::start_with_memory(5, LITTLE_MEMORY_MB).await;
    let piece = chunk(b"x", "").repeat(2_048);
    let pieces = |number| chunked_body(number, 32, piece.clone());
    gateway.withstand(CROWD, pieces).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withstands_announced_bodies_over_the_limit() {
    let mut gateway = Gateway::start(6).await;
    let pieces = |number| {
        let start = head("/order/1", number, &format!("Content-Length: {}", 1_u64 << 30));
        iter::once(start).chain(iter::repeat_n(vec![b'x'; PIECE_BYTES], 512))
    };
    gateway.withstand(CROWD, pieces).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withstands_chunks_without_end() {
    let mut gateway = Gateway::start(7).await;
    let data = vec![b'x'; PIECE_BYTES];
    let pieces = |number| chunked_body(number, 512, chunk(&data, ""));
    gateway.withstand(CROWD, pieces).await;
}

/// Extensions and trailers that stop short of the limits of the HTTP library, and that exceed them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withstands_long_chunk_extensions_and_trailers() {
    let mut gateway = Gateway::start(8).await;
    let extension = format!(";x={}", "e".repeat(15 * 1024));
    let trailer = format!("Filler: {}", "t".repeat(1024));
    let pieces = move |number: usize| {
        let repeats = if is_whole(number) { 64 } else { 1 };
        let chunk = chunk(&[b'x'; 1024], &extension);
        let trailers = trailer.repeat(15 * repeats).into_bytes();
        iter::once(head("/order/1", number, CHUNKED))
            .chain(iter::repeat_n(chunk, repeats))
            .chain([b"0\r\n".to_vec(), trailers])
    };
    gateway.withstand(CROWD, pieces).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withstands_heads_that_stop_short_and_heads_without_end() {
    let mut gateway = Gateway::start(9).await;
    let pieces = |number: usize| {
        let mut start = head("/order/1", number, CHUNKED);
        start.truncate(start.len() - 2);
        let lines = format!("Filler: {}\r\n", "h".repeat(1_000)).into_bytes();
        let repeats = if number.is_multiple_of(2) { 4_096 } else { 14 };
        iter::once(start).chain(iter::repeat_n(lines, repeats))
    };
    gateway.withstand(CROWD, pieces).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withstands_pipelined_requests_whose_answers_are_not_read() {
    let mut gateway = Gateway::start(10).await;
    gateway.replica.set_mode(Mode::LongAnswer(4_000_000));
    let pieces = |number| {
        let mut request = head("/order/look/1", number, "Content-Length: 5");
        request.extend_from_slice(b"order");
        iter::repeat_n(request, 200)
    };
    gateway.withstand(CROWD, pieces).await;
}

/// More connections than there are descriptors for sockets; one in ten sends part of a head.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withstands_connections_that_are_left() {
    let mut gateway = Gateway::start(11).await;
    let pieces = |number| iter::repeat_n(b"POST".to_vec(), usize::from(is_whole(number)));
    gateway.withstand(3 * CROWD, pieces).await;
}
