const EVENT_END = Buffer.from('\n\n');

/** Average length of a token in a whole answer, bytes. */
const BYTES_PER_TOKEN = 4;

/**
 * Estimates the tokens in a chunk of an answer without decoding it: the events
 * of a stream, otherwise the length over the average length of a token.
 */
export const countTokens = (chunk: Buffer): number => {
  if (!chunk.subarray(0, 6).equals(DATA_FIELD)) {
    return Math.ceil(chunk.length / BYTES_PER_TOKEN);
  }
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

const DATA_FIELD = Buffer.from('data: ');
