/** Orders texts by their code units, the same on every host. */
export const compareText = (first: string, second: string): number =>
  first < second ? -1 : first > second ? 1 : 0;
