const EVENT_END = Buffer.from('\n\n');

/** Average length of a token in a whole answer, bytes. */
const BYTES_PER_TOKEN = 4;

/** Counts the events in a chunk of a stream, without decoding it. */
export const countEvents = (chunk: Buffer): number => {
  let events = 0;
  for (
    let index = chunk.indexOf(EVENT_END);
    index !== -1;
    index = chunk.indexOf(EVENT_END, index + EVENT_END.length)
  ) {
    events++;
  }
  return events;
};

/** Estimates the tokens in a chunk of a whole answer from its length. */
export const estimateTokens = (chunk: Buffer): number =>
  Math.ceil(chunk.length / BYTES_PER_TOKEN);
