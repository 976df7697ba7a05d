package forwarder

// TargetURL makes targetURL available to tests.
var TargetURL = targetURL
