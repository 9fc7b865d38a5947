//! Append-only text of an answer, with the boundaries of the chunks in which it was generated.

use derive_more::Display;
use rhubarbrock_schema::peer;

/// Reason why a piece of text or a finish does not fit the known answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, derive_more::Error)]
pub enum Mismatch {
    /// The piece starts past the end of the answer.
    #[display("the piece starts past the end of the answer")]
    Gap,
    /// The piece overlaps the answer and differs from it there.
    #[display("the piece differs from the answer where they overlap")]
    Differs,
    /// The chunk lengths do not add up to the text or split a character.
    #[display("the chunk lengths do not add up to the text or split a character")]
    InvalidChunks,
    /// The answer is already finished, and the piece adds text or a different finish.
    #[display("the answer is already finished")]
    AlreadyFinished,
}

/// Answer text generated so far, with its finish once complete.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    text: String,
    chunk_bytes: Vec<u32>,
    tokens: u32,
    finish: Option<peer::Finish>,
}

/// The part of an answer from a byte offset to its end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Piece {
    /// Text from the offset on.
    pub text: String,
    /// Lengths of the chunks in `text`, in bytes; a split first chunk counts only its rest.
    pub chunk_bytes: Vec<u32>,
}

impl Answer {
    /// Creates an unfinished answer. Text without chunk lengths counts as one chunk.
    ///
    /// Fails with [`Mismatch::InvalidChunks`] if the chunk lengths do not fit the text.
    pub fn new(text: String, chunk_bytes: Vec<u32>, tokens: u32) -> Result<Answer, Mismatch> {
        let mut answer = Answer::default();
        answer.append(0, &text, &chunk_bytes, tokens)?;
        Ok(answer)
    }

    /// Text received so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Lengths of the chunks received so far, in bytes.
    pub fn chunk_bytes(&self) -> &[u32] {
        &self.chunk_bytes
    }

    /// Tokens generated so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Finish of the answer, `None` while it is being generated.
    pub fn finish(&self) -> Option<&peer::Finish> {
        self.finish.as_ref()
    }

    /// Length of the text, in bytes.
    pub fn len_bytes(&self) -> u64 {
        self.text.len() as u64
    }

    /// Size of text and chunk lengths, in bytes; the allocated memory is at most twice that.
    pub fn size_bytes(&self) -> usize {
        self.text.len() + self.chunk_bytes.len() * size_of::<u32>()
    }

    /// Appends `text`, which starts at byte `offset` of the answer, and returns the number of
    /// bytes added.
    ///
    /// The part that overlaps the known text must equal it. On error the answer is unchanged.
    pub fn append(
        &mut self,
        offset: u64,
        text: &str,
        chunk_bytes: &[u32],
        tokens: u32,
    ) -> Result<usize, Mismatch> {
        let known_bytes = self.overlap(offset, text)?;
        let one_chunk = [text.len() as u32];
        let is_one_chunk = chunk_bytes.is_empty() && !text.is_empty();
        let chunk_bytes = if is_one_chunk { &one_chunk } else { chunk_bytes };
        if !chunks_fit_text(text, chunk_bytes) {
            return Err(Mismatch::InvalidChunks);
        }
        let new = &text[known_bytes..];
        if new.is_empty() {
            return Ok(0);
        }
        if self.finish.is_some() {
            return Err(Mismatch::AlreadyFinished);
        }
        self.chunk_bytes.extend(chunks_from(chunk_bytes, known_bytes));
        self.text.push_str(new);
        self.tokens = self.tokens.max(tokens);
        Ok(new.len())
    }

    /// Sets the finish. Setting an equal finish again succeeds; a different one fails with
    /// [`Mismatch::AlreadyFinished`].
    pub fn finish_with(&mut self, finish: peer::Finish) -> Result<(), Mismatch> {
        match &self.finish {
            Some(known) if *known != finish => Err(Mismatch::AlreadyFinished),
            _ => {
                self.finish = Some(finish);
                Ok(())
            }
        }
    }

    /// Text from byte `offset` on; `None` if that is past the end or within a character.
    pub fn piece_from(&self, offset: u64) -> Option<Piece> {
        let offset = usize::try_from(offset).ok()?;
        let text = self.text.get(offset..)?.to_owned();
        Some(Piece { text, chunk_bytes: chunks_from(&self.chunk_bytes, offset).collect() })
    }

    /// Number of bytes of `text` at `offset` that overlap the known text, if they are equal.
    fn overlap(&self, offset: u64, text: &str) -> Result<usize, Mismatch> {
        let offset = usize::try_from(offset).map_err(|_| Mismatch::Gap)?;
        let known = self.text.as_bytes().get(offset..).ok_or(Mismatch::Gap)?;
        let bytes = known.len().min(text.len());
        if known[..bytes] != text.as_bytes()[..bytes] || !text.is_char_boundary(bytes) {
            return Err(Mismatch::Differs);
        }
        Ok(bytes)
    }
}

fn chunks_fit_text(text: &str, chunk_bytes: &[u32]) -> bool {
    let mut end = 0_usize;
    for &bytes in chunk_bytes {
        end += bytes as usize;
        if !text.is_char_boundary(end) {
            return false;
        }
    }
    end == text.len()
}

/// Chunk lengths after the first `skipped_bytes`; a chunk that is split there keeps its rest.
fn chunks_from(chunk_bytes: &[u32], skipped_bytes: usize) -> impl Iterator<Item = u32> {
    let mut left = skipped_bytes as u64;
    chunk_bytes.iter().filter_map(move |&bytes| {
        let skipped = left.min(bytes.into());
        left -= skipped;
        let rest = bytes - skipped as u32;
        (rest > 0).then_some(rest)
    })
}
