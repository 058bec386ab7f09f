type Method<Result> = (this: Buffer, ...parts: unknown[]) => Result;

/** The methods of `Buffer` whose work is counted. */
interface Methods {
  indexOf: Method<number>;
  copy: Method<number>;
  toString: Method<string>;
}

interface Functions {
  concat: (...parts: unknown[]) => Buffer;
  from: (...parts: unknown[]) => Buffer;
}

/** Bytes that are searched or copied while `run` runs. */
export const bufferWork = (run: () => void): number => {
  let bytes = 0;
  const prototype = Buffer.prototype as unknown as Methods;
  const functions = Buffer as unknown as Functions;
  const {indexOf, copy, toString} = prototype;
  const {concat, from} = functions;
  prototype.indexOf = function (value, start = 0) {
    const found = indexOf.call(this, value, start);
    bytes += (found < 0 ? this.length : found) - Number(start);
    return found;
  };
  prototype.copy = function (...parts) {
    const copied = copy.apply(this, parts);
    bytes += copied;
    return copied;
  };
  prototype.toString = function (...parts) {
    const text = toString.apply(this, parts);
    bytes += text.length;
    return text;
  };
  functions.concat = (...parts) => {
    const joined = concat(...parts);
    bytes += joined.length;
    return joined;
  };
  functions.from = (...parts) => {
    const buffer = from(...parts);
    bytes += buffer.length;
    return buffer;
  };
  try {
    run();
  } finally {
    Object.assign(prototype, {indexOf, copy, toString});
    Object.assign(functions, {concat, from});
  }
  return bytes;
};
