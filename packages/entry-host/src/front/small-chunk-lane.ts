import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** Chunks of a body after which their mean size counts. */
const MINIMUM_CHUNKS = 1_024;

/** Mean size of chunks below which parsing takes most of the time, bytes. */
const SMALL_CHUNK_BYTES = 64;

/** Whether a body of so many bytes comes in small chunks. */
export const hasSmallChunks = (bytes: number, chunks: number): boolean =>
  chunks >= MINIMUM_CHUNKS && bytes < chunks * SMALL_CHUNK_BYTES;

/** Reads a message through a lane once its body comes in small chunks. */
export const paceSmallChunks = (
  message: IncomingMessage,
  lane: SmallChunkLane,
): void => {
  const {socket} = message;
  let bytes = 0;
  let chunks = 0;
  message.on('data', ({length}: Buffer) => {
    bytes += length;
    chunks += 1;
    if (hasSmallChunks(bytes, chunks)) {
      // The stream would resume its connection for more at once.
      message._read = () => undefined;
      lane.add(socket);
    }
  });
  const release = () => {
    lane.remove(socket);
  };
  message.once('end', release);
  message.once('close', release);
};

/**
 * Reads connections whose bodies come in small chunks one at a time: each read
 * of one takes milliseconds, so that a crowd of them would keep the event loop
 * from all other work. Alone, such a connection is read without delay.
 */
export class SmallChunkLane {
  /** Paused connections, the longest waiting first. */
  private readonly waiting = new Set<Socket>();
  private isScheduled = false;

  /** Pauses a connection until its turn to be read once. */
  add(socket: Socket): void {
    if (!this.waiting.has(socket)) {
      socket.pause();
      this.waiting.add(socket);
      this.schedule();
    }
  }

  /** Resumes a connection. */
  remove(socket: Socket): void {
    if (this.waiting.delete(socket)) {
      socket.resume();
    }
  }

  private schedule(): void {
    if (!this.isScheduled) {
      this.isScheduled = true;
      setImmediate(() => {
        this.isScheduled = false;
        this.readNext();
      });
    }
  }

  private readNext(): void {
    const [next] = this.waiting;
    if (next !== undefined) {
      this.remove(next);
    }
    if (this.waiting.size > 0) {
      this.schedule();
    }
  }
}
