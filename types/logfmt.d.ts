declare module 'logfmt' {
  const logfmt: { stringify(fields: Record<string, unknown>): string };
  export default logfmt;
}
