//! Log lines on their way to standard output.
//!
//! A process must not wait for whoever reads its log. Lines go through a queue of
//! bounded length to a thread of their own, which writes many at once; what does
//! not fit is dropped and counted, and the count is written when there is room.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// Lines that wait at most: several seconds of a busy process.
const QUEUE_LINES: usize = 4_096;

/// Time in which lines gather before they are written.
const GATHER: Duration = Duration::from_millis(40);

/// Bytes of one line from which the rest is cut off.
const LINE_MAX: usize = 16 << 10;

enum Message {
    Line(Vec<u8>),
    End,
}

/// Writer that never waits.
pub(super) struct QueueWriter {
    sender: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

/// Writes what is queued when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    sender: SyncSender<Message>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        // A thread that has ended already has nothing left to write.
        let _ = self.sender.send(Message::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts a thread that writes to `out`.
pub(super) fn start(mut out: impl Write + Send + 'static) -> io::Result<(QueueWriter, LogGuard)> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&dropped);
    let thread = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_all(&receiver, &counter, &mut out))?;
    let writer = QueueWriter {
        sender: sender.clone(),
        dropped,
        line: Vec::new(),
    };
    let guard = LogGuard {
        sender,
        thread: Some(thread),
    };
    Ok((writer, guard))
}

fn write_all(receiver: &Receiver<Message>, dropped: &AtomicU64, out: &mut impl Write) {
    let mut batch = Vec::new();
    let mut has_ended = false;
    while !has_ended {
        let Ok(first) = receiver.recv() else {
            return;
        };
        std::thread::sleep(GATHER);
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::End => has_ended = true,
            }
            next = receiver.try_recv().ok();
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(format!("{{\"dropped-lines\":{lost}}}\n").as_bytes());
        }
        // Nobody is left to be told that the log cannot be written.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        batch.clear();
    }
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            let room = LINE_MAX.saturating_sub(self.line.len());
            let is_end = piece.ends_with(b"\n");
            self.line.extend_from_slice(&piece[..piece.len().min(room)]);
            if is_end {
                if !self.line.ends_with(b"\n") {
                    self.line.push(b'\n');
                }
                self.send();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl QueueWriter {
    fn send(&mut self) {
        let line = std::mem::take(&mut self.line);
        match self.sender.try_send(Message::Line(line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
