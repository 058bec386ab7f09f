/** An adapter of a base model. */
export interface AdapterName {
  readonly model: string;
  readonly adapter: string;
}

/** Key of an adapter in maps and logs: `model/adapter`. */
export const adapterKey = ({model, adapter}: AdapterName): string =>
  `${model}/${adapter}`;

/** The target of a request: a base model, or one of its adapters. */
export interface ModelReference {
  readonly model: string;
  readonly adapter: string | undefined;
}

/** Parses `model` or `model/adapter`. */
export const parseModelReference = (text: string): ModelReference => {
  const slash = text.indexOf('/');
  return slash < 0
    ? {model: text, adapter: undefined}
    : {model: text.slice(0, slash), adapter: text.slice(slash + 1)};
};
