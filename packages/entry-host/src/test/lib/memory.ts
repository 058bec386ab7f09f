/** Memory of a small machine, megabytes, and what an idle host uses of it. */
export const SMALL_MACHINE_MB = 250;
const IDLE_HOST_MB = 100;

/** Memory that a host on a small machine has for its requests, bytes. */
export const AVAILABLE_BYTES = (SMALL_MACHINE_MB - IDLE_HOST_MB) * 1_000_000;

/** Bytes that this process holds, within and outside of the heap. */
export const usedBytes = (): number => {
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
};
