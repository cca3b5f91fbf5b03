//! Non-blocking log output.
//!
//! A slow reader of the log must not block the process. Lines go through a bounded
//! queue to a dedicated thread, which writes them in batches. Lines that find the
//! queue full are dropped, and their count is written with the next batch.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// Capacity of the queue in lines: several seconds of output of a busy process.
const QUEUE_LINES: usize = 4_096;

/// Delay before a batch is written, in which further lines join it.
const BATCH_DELAY: Duration = Duration::from_millis(40);

/// Length in bytes that longer lines are truncated to.
const MAX_LINE_BYTES: usize = 16 << 10;

enum Message {
    Line(Vec<u8>),
    End,
}

/// Writer that puts whole lines into the queue and never blocks.
pub(super) struct QueueWriter {
    sender: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

/// Writes the queued lines when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    sender: SyncSender<Message>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        // Sending fails only if the thread has ended already, with nothing left to write.
        let _ = self.sender.send(Message::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts the thread that writes to `out`.
pub(super) fn start(mut out: impl Write + Send + 'static) -> io::Result<(QueueWriter, LogGuard)> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&dropped);
    let thread = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_batches(&receiver, &counter, &mut out))?;
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

fn write_batches(receiver: &Receiver<Message>, dropped: &AtomicU64, out: &mut impl Write) {
    let mut batch = Vec::new();
    let mut has_ended = false;
    while !has_ended {
        let Ok(first) = receiver.recv() else {
            return;
        };
        std::thread::sleep(BATCH_DELAY);
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
        // A failed write is ignored: there is no other place to report it.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        batch.clear();
    }
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            let room = MAX_LINE_BYTES.saturating_sub(self.line.len());
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
