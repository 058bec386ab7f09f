/** Bytes that are searched or copied while `run` runs. */
export const bufferWork = (run: () => void): number => {
  let bytes = 0;
  const {indexOf, copy, toString} = Buffer.prototype;
  const {concat, from} = Buffer;
  Object.assign(Buffer.prototype, {
    indexOf(this: Buffer, value: string | number, start = 0) {
      const found = indexOf.call(this, value, start);
      bytes += (found < 0 ? this.length : found) - start;
      return found;
    },
    copy(this: Buffer, ...parts: Parameters<typeof copy>) {
      const copied = copy.apply(this, parts);
      bytes += copied;
      return copied;
    },
    toString(this: Buffer, ...parts: Parameters<typeof toString>) {
      const text = toString.apply(this, parts);
      bytes += text.length;
      return text;
    },
  });
  Object.assign(Buffer, {
    concat: (pieces: readonly Buffer[]) => {
      const joined = concat(pieces);
      bytes += joined.length;
      return joined;
    },
    from: (...parts: Parameters<typeof from>) => {
      const buffer = from(...parts);
      bytes += buffer.length;
      return buffer;
    },
  });
  try {
    run();
  } finally {
    Object.assign(Buffer.prototype, {indexOf, copy, toString});
    Object.assign(Buffer, {concat, from});
  }
  return bytes;
};
