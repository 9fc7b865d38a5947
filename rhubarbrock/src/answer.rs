//! The text of an answer as it grows, cut into the chunks in which it was generated.

use derive_more::Display;
use rhubarbrock_schema::peer;

/// Why a piece of text does not continue an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, derive_more::Error)]
pub enum Mismatch {
    /// It starts after the end.
    #[display("text between the answer's end and the piece is missing")]
    Gap,
    /// It overlaps the answer and differs there.
    #[display("the piece differs from the answer where they overlap")]
    Differs,
    /// Its chunk lengths don't add up to its text or cut a character.
    #[display("the chunk lengths do not fit the text")]
    InvalidChunks,
    /// It comes after the answer's end was told, or ends it otherwise.
    #[display("the answer is complete")]
    AlreadyFinished,
}

/// An answer so far.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    text: String,
    chunk_bytes: Vec<u32>,
    tokens: u32,
    finish: Option<peer::Finish>,
}

/// The part of an answer from an offset on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Piece {
    /// The text.
    pub text: String,
    /// Lengths of its chunks, in bytes.
    pub chunk_bytes: Vec<u32>,
}

impl Answer {
    /// An answer with text; without chunk lengths the text is one chunk.
    pub fn new(text: String, chunk_bytes: Vec<u32>, tokens: u32) -> Result<Answer, Mismatch> {
        let mut answer = Answer::default();
        answer.append(0, &text, &chunk_bytes, tokens)?;
        Ok(answer)
    }

    /// Text so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Lengths of the chunks so far, in bytes.
    pub fn chunk_bytes(&self) -> &[u32] {
        &self.chunk_bytes
    }

    /// Tokens so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// How it ended, if it did.
    pub fn finish(&self) -> Option<&peer::Finish> {
        self.finish.as_ref()
    }

    /// Length so far, in bytes.
    pub fn len_bytes(&self) -> u64 {
        self.text.len() as u64
    }

    /// Bytes that it holds; its memory is at most twice that.
    pub fn size_bytes(&self) -> usize {
        self.text.len() + self.chunk_bytes.len() * size_of::<u32>()
    }

    /// Takes in the text at `offset`; what is known already must be the same. Gives back the
    /// bytes added.
    pub fn append(
        &mut self,
        offset: u64,
        text: &str,
        chunk_bytes: &[u32],
        tokens: u32,
    ) -> Result<usize, Mismatch> {
        let known_bytes = self.overlap(offset, text)?;
        let one_chunk = [text.len() as u32];
        let whole = chunk_bytes.is_empty() && !text.is_empty();
        let chunk_bytes = if whole { &one_chunk } else { chunk_bytes };
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

    /// Ends the answer; the same end may be told again.
    pub fn finish_with(&mut self, finish: peer::Finish) -> Result<(), Mismatch> {
        match &self.finish {
            Some(known) if *known != finish => Err(Mismatch::AlreadyFinished),
            _ => {
                self.finish = Some(finish);
                Ok(())
            }
        }
    }

    /// The text from `offset` on; nothing where that is past the end or within a character.
    pub fn piece_from(&self, offset: u64) -> Option<Piece> {
        let offset = usize::try_from(offset).ok()?;
        let text = self.text.get(offset..)?.to_owned();
        Some(Piece { text, chunk_bytes: chunks_from(&self.chunk_bytes, offset).collect() })
    }

    /// How many bytes of `text` at `offset` are known, if these are the same.
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

/// The chunks past the first `skipped_bytes`; one that is cut keeps its rest.
fn chunks_from(chunk_bytes: &[u32], skipped_bytes: usize) -> impl Iterator<Item = u32> {
    let mut left = skipped_bytes as u64;
    chunk_bytes.iter().filter_map(move |&bytes| {
        let skipped = left.min(bytes.into());
        left -= skipped;
        let rest = bytes - skipped as u32;
        (rest > 0).then_some(rest)
    })
}
